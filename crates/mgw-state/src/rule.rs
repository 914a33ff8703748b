//! For each kind of record, the rule that decides whether it is valid and the effect that it has.

use std::sync::Arc;

use mgw_sheet::sheet::Sheet;
use smol_str::SmolStr;

use crate::claim::{ActiveClaim, Decision};
use crate::entity::{
    Assignment, Config, CrashCount, Custody, Entry, Group, Instance, MemberSlot, Term,
};
use crate::outcome::{Cause, Change};
use crate::record::{Claim, Envelope, Incarnation, Mark, Member, Offset, UniqueId};
use crate::record::{Reason, Record, Target};
use crate::state::State;

/// Maximum number of recent publications that are stored to recognize a repeated one.
const MAX_PUBLICATIONS: usize = 64;

/// Maximum length of a publication identifier in bytes.
const MAX_PUBLICATION_ID_BYTES: usize = 256;

/// Maximum number of earlier boot identifiers that are stored per instance. They keep a delayed
/// report of an earlier boot from being taken for a new restart.
const MAX_PAST_BOOTS: usize = 8;

impl State {
    /// Applies a record if it is valid at `offset`.
    pub(crate) fn apply_record(
        &mut self,
        offset: Offset,
        envelope: &Envelope,
    ) -> Result<Change, Cause> {
        let writer = envelope.append_id.incarnation;
        match &envelope.record {
            Record::Publish { publication, base, sheet } => {
                self.publish(offset, publication, *base, sheet)
            }
            Record::Join { entry, incarnation, address, zone } => {
                let joined = Entry {
                    name: entry.into(),
                    address: address.into(),
                    zone: zone.into(),
                    joined: offset,
                    dead_ms: None,
                    sequence: envelope.append_id.sequence,
                };
                self.join(*incarnation, joined)
            }
            Record::Lead { term, incarnation } => self.lead(*term, *incarnation),
            Record::Form { term, base, model, version, members, executor } => {
                self.check_term(*term, writer)?;
                self.check_form(offset, *base, members, *executor)?;
                let group = Group {
                    model: model.into(),
                    version: version.into(),
                    members: members.iter().map(slot).collect(),
                    fence: offset,
                    executor: *executor,
                };
                Ok(self.form(offset, group))
            }
            Record::Dissolve { term, group, reason } => {
                self.check_term(*term, writer)?;
                self.dissolve(offset, *group, *reason, writer)
            }
            Record::Replace { term, group, lost, spare, executor } => {
                self.check_term(*term, writer)?;
                let rank = self.check_replace(offset, *group, lost, spare, *executor)?;
                self.replace(offset, *group, rank, spare, *executor, writer)
            }
            Record::OrderDone { instance, fence } => self.order_done(instance, *fence),
            Record::Restarted { term, instance, boot } => {
                self.check_term(*term, writer)?;
                self.restarted(instance, boot)
            }
            Record::Claim { claims } => self.claim(claims),
            Record::Crash { fingerprint, group } => self.crash(*fingerprint, *group),
            Record::Mark { target, mark } => self.mark(target, *mark),
            Record::EntryGone { incarnation } => self.entry_gone(offset, *incarnation),
            Record::SnapshotPart { .. } => Ok(Change::SnapshotPart),
        }
    }

    /// Rejects a record whose writer has a later append in the log already. A writer that reads one
    /// of its own appends therefore knows that its earlier ones can no longer take effect.
    pub(crate) fn check_sequence(&mut self, append_id: UniqueId) -> Result<(), Cause> {
        match self.entries.get_mut(&append_id.incarnation) {
            Some(entry) if append_id.sequence < entry.sequence => Err(Cause::Late),
            Some(entry) => {
                entry.sequence = append_id.sequence;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Expires claims and, when there are many, crashes by the current log time.
    pub(crate) fn expire(&mut self) {
        let (now_ms, options) = (self.log_ms, self.options);
        self.claims.expire(now_ms, options.claim_window_ms);
        // Expired crashes are dropped only at the limit; `State::crashes` does not count them
        // anyway.
        if self.crashes.len() >= options.crash_limit {
            self.drop_expired_crashes();
        }
    }

    fn drop_expired_crashes(&mut self) {
        let (now_ms, window_ms) = (self.log_ms, self.options.quarantine_ms);
        self.crashes.retain(|_, crash| now_ms.saturating_sub(crash.last_ms) < window_ms);
    }

    /// Checks that the writer is the planner of the record's term and that the term is current.
    fn check_term(&self, term: u64, writer: Incarnation) -> Result<(), Cause> {
        let current = self.term;
        match term == current.number && current.planner == Some(writer) {
            true => Ok(()),
            false => Err(Cause::Term { term: current.number }),
        }
    }

    fn publish(
        &mut self,
        offset: Offset,
        publication: &str,
        base: Offset,
        text: &str,
    ) -> Result<Change, Cause> {
        if offset == 0 {
            return Err(Cause::Origin);
        }
        if publication.len() > MAX_PUBLICATION_ID_BYTES {
            return Err(Cause::Identifier);
        }
        if let Some(version) = self.published_version(publication) {
            return Err(Cause::Published { version });
        }
        if base != self.config.version {
            return Err(Cause::Base { version: self.config.version });
        }
        let sheet = (self.options.parse)(text).ok_or(Cause::Sheet)?;
        self.drop_unreferenced(&sheet);
        self.config = Config { version: offset, text: text.into(), sheet: Some(Arc::new(sheet)) };
        if self.publications.len() == MAX_PUBLICATIONS {
            self.publications.remove(0);
        }
        self.publications.push((publication.into(), offset));
        Ok(Change::ConfigPublished { version: offset })
    }

    /// Removes instances that are not in the new sheet and have no assignment, custody or mark.
    fn drop_unreferenced(&mut self, sheet: &Sheet) {
        let unknown = |name: &SmolStr| {
            sheet.instances.binary_search_by(|known| known.name.cmp(name)).is_err()
        };
        let unreferenced: Vec<SmolStr> = self
            .instances
            .iter()
            .filter(|(name, instance)| !instance.is_referenced() && unknown(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in unreferenced {
            self.instances.remove(&name);
        }
    }

    /// Adds an incarnation. Earlier ones with the same address are dead, because an address is
    /// bound exclusively. Dead incarnations past the retention time are removed.
    fn join(&mut self, incarnation: Incarnation, joined: Entry) -> Result<Change, Cause> {
        if self.entries.get(&incarnation).is_some() {
            return Err(Cause::Seen);
        }
        let (now_ms, retention_ms) = (self.log_ms, self.options.entry_retention_ms);
        self.entries.retain(|_, entry| {
            entry.dead_ms.is_none_or(|at| now_ms.saturating_sub(at) < retention_ms)
        });
        let mut dead = Vec::new();
        for (older, entry) in self.entries.iter_mut() {
            if entry.address == joined.address && entry.dead_ms.is_none() {
                entry.dead_ms = Some(now_ms);
                dead.push(*older);
            }
        }
        self.entries.insert(incarnation, joined);
        self.end_custody_of(&dead);
        Ok(Change::EntryJoined { incarnation, dead })
    }

    /// Records that an incarnation is dead, also if it never joined.
    fn entry_gone(&mut self, offset: Offset, incarnation: Incarnation) -> Result<Change, Cause> {
        let now_ms = self.log_ms;
        let entry = self.entries.get_or_insert_with(incarnation, || Entry {
            name: SmolStr::default(),
            address: SmolStr::default(),
            zone: SmolStr::default(),
            joined: offset,
            dead_ms: None,
            sequence: 0,
        });
        if entry.dead_ms.is_some() {
            return Err(Cause::Unchanged);
        }
        entry.dead_ms = Some(now_ms);
        self.end_custody_of(&[incarnation]);
        Ok(Change::EntryGone { incarnation })
    }

    /// Ends the custody held by executors that are proven dead: they can send no more orders.
    fn end_custody_of(&mut self, dead: &[Incarnation]) {
        if dead.is_empty() {
            return;
        }
        self.for_each_instance(|instance| {
            if instance.custody.as_ref().is_some_and(|custody| dead.contains(&custody.executor)) {
                instance.custody = None;
            }
        });
    }

    fn for_each_instance<F>(&mut self, mut change: F)
    where
        F: FnMut(&mut Instance),
    {
        let keys: Vec<_> = self.instances.keys().map(|(_, key)| key).collect();
        for key in keys {
            if let Some(instance) = self.instances.get_mut(key) {
                change(instance);
            }
        }
    }

    fn lead(&mut self, term: u64, incarnation: Incarnation) -> Result<Change, Cause> {
        if Some(term) != self.term.number.checked_add(1) {
            return Err(Cause::Term { term: self.term.number });
        }
        self.term = Term { number: term, planner: Some(incarnation) };
        Ok(Change::PlannerElected { term, planner: incarnation })
    }

    /// Checks that the plan is based on the configuration in force and that all members differ and
    /// can be assigned.
    fn check_form(
        &self,
        offset: Offset,
        base: Offset,
        members: &[Member],
        executor: Incarnation,
    ) -> Result<(), Cause> {
        if offset == 0 {
            return Err(Cause::Origin);
        }
        if base != self.config.version {
            return Err(Cause::Base { version: self.config.version });
        }
        if members.is_empty() {
            return Err(Cause::Empty);
        }
        let mut names: Vec<&str> = members.iter().map(|member| member.instance.as_str()).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(Cause::Busy { instance: pair[0].into(), group: offset });
        }
        members.iter().try_for_each(|member| self.check_assignable(member, executor))
    }

    /// Checks that an instance belongs to no group, that its boot is the newest one in the log, and
    /// that no other executor has custody of it.
    fn check_assignable(&self, member: &Member, executor: Incarnation) -> Result<(), Cause> {
        let name = || SmolStr::new(&member.instance);
        match self.instance(&member.instance) {
            Some(Instance { assignment: Some(assignment), .. }) => {
                Err(Cause::Busy { instance: name(), group: assignment.group })
            }
            Some(known) if !known.boot.is_empty() && known.boot != member.boot => {
                Err(Cause::Boot { instance: name() })
            }
            _ => self.check_custody(&member.instance, executor),
        }
    }

    /// Checks that no other executor's order may still reach the instance.
    fn check_custody(&self, instance: &str, executor: Incarnation) -> Result<(), Cause> {
        match self.blocking_executor(instance, executor) {
            Some(executor) => Err(Cause::Custody { instance: instance.into(), executor }),
            None => Ok(()),
        }
    }

    /// Returns an instance, adding it if the log has not named it before.
    fn instance_mut(&mut self, name: &str) -> &mut Instance {
        let key = match self.instances.find(name) {
            Some(key) => key,
            None => self.instances.insert(name.into(), Instance::default()),
        };
        self.instances.get_mut(key).expect("the key was looked up in this table")
    }

    fn form(&mut self, offset: Offset, group: Group) -> Change {
        for (rank, slot) in group.members.iter().enumerate() {
            let assignment = Assignment { group: offset, rank: rank as u32 };
            self.assign(slot, assignment, group.executor, offset);
        }
        self.groups.insert(offset, group);
        Change::GroupFormed { group: offset }
    }

    /// Assigns an instance and gives the executor custody of it, unless the executor is dead. If an
    /// earlier order still waits for requests to end, the new order waits for them too.
    fn assign(
        &mut self,
        slot: &MemberSlot,
        assignment: Assignment,
        executor: Incarnation,
        fence: Offset,
    ) {
        let dead = self.is_dead(executor);
        let instance = self.instance_mut(&slot.instance);
        let boot = slot.boot.clone();
        instance.boot = boot.clone();
        instance.assignment = Some(assignment);
        let drain = instance.custody.as_ref().is_some_and(|custody| custody.drain);
        instance.custody = (!dead).then_some(Custody { executor, fence, boot, drain });
    }

    /// Ends the assignment of an instance. The planner gets custody, to order the instance to
    /// unload; while another executor has custody, that custody remains instead.
    fn unassign(&mut self, name: &str, planner: Incarnation, fence: Offset, drain: bool) {
        let blocked = self.blocking_executor(name, planner).is_some();
        let dead = self.is_dead(planner);
        let instance = self.instance_mut(name);
        instance.assignment = None;
        if !blocked {
            let boot = instance.boot.clone();
            let custody = Custody { executor: planner, fence, boot, drain };
            instance.custody = (!dead).then_some(custody);
        }
    }

    fn dissolve(
        &mut self,
        offset: Offset,
        id: Offset,
        reason: Reason,
        planner: Incarnation,
    ) -> Result<Change, Cause> {
        let group = self.groups.remove(&id).ok_or(Cause::Group)?;
        for slot in group.members.iter().filter(|slot| !slot.vacant) {
            self.unassign(&slot.instance, planner, offset, reason != Reason::MemberLost);
        }
        Ok(Change::GroupDissolved { group: id })
    }

    /// Checks that a member can be replaced and returns its rank.
    fn check_replace(
        &self,
        offset: Offset,
        group: Offset,
        lost: &str,
        spare: &Member,
        executor: Incarnation,
    ) -> Result<usize, Cause> {
        if offset == 0 {
            return Err(Cause::Origin);
        }
        let group = self.groups.get(&group).ok_or(Cause::Group)?;
        let rank = group.members.iter().position(|slot| slot.instance == lost);
        let rank = rank.ok_or(Cause::Member)?;
        self.check_assignable(spare, executor)?;
        // The remaining members receive orders with the new fencing token too, so no other
        // executor's delayed order may reach them either.
        let members = group.members.iter().enumerate();
        for (_, slot) in members.filter(|(index, slot)| *index != rank && !slot.vacant) {
            self.check_custody(&slot.instance, executor)?;
        }
        Ok(rank)
    }

    fn replace(
        &mut self,
        offset: Offset,
        id: Offset,
        rank: usize,
        spare: &Member,
        executor: Incarnation,
        planner: Incarnation,
    ) -> Result<Change, Cause> {
        let group = self.groups.get_mut(&id).ok_or(Cause::Group)?;
        let lost = std::mem::replace(&mut group.members[rank], slot(spare));
        group.fence = offset;
        group.executor = executor;
        let members = group.members.clone();
        if !lost.vacant {
            self.unassign(&lost.instance, planner, offset, false);
        }
        for (index, slot) in members.iter().enumerate().filter(|(_, slot)| !slot.vacant) {
            let assignment = Assignment { group: id, rank: index as u32 };
            self.assign(slot, assignment, executor, offset);
        }
        Ok(Change::MemberReplaced { group: id, fence: offset })
    }

    /// Ends custody of an instance if the answered order is its outstanding one.
    fn order_done(&mut self, name: &str, fence: Offset) -> Result<Change, Cause> {
        match self.instances.by_name_mut(name) {
            Some(instance) if instance.custody.as_ref().is_some_and(|it| it.fence == fence) => {
                instance.custody = None;
                instance.settled_fence = fence;
                Ok(Change::OrderSettled { instance: name.into() })
            }
            _ => Err(Cause::Settled),
        }
    }

    /// Records a new boot. A restarted engine has lost its assignment, and orders to the old boot
    /// no longer apply, so assignment and custody end.
    fn restarted(&mut self, name: &str, boot: &str) -> Result<Change, Cause> {
        let known = self.instance(name);
        if known.is_some_and(|it| it.boot == boot || it.past_boots.iter().any(|past| past == boot))
        {
            return Err(Cause::Boot { instance: name.into() });
        }
        let instance = self.instance_mut(name);
        let old = std::mem::replace(&mut instance.boot, boot.into());
        if !old.is_empty() {
            instance.past_boots.push(old);
        }
        if instance.past_boots.len() > MAX_PAST_BOOTS {
            instance.past_boots.remove(0);
        }
        let assignment = instance.assignment.take();
        instance.custody = None;
        instance.settled_fence = 0;
        let vacated =
            assignment.and_then(|it| Some((it.rank as usize, self.groups.get_mut(&it.group)?)));
        if let Some(slot) = vacated.and_then(|(rank, group)| group.members.get_mut(rank)) {
            slot.vacant = true;
        }
        let group = assignment.map(|assignment| assignment.group);
        Ok(Change::InstanceRestarted { instance: name.into(), group })
    }

    fn claim(&mut self, claims: &[Claim]) -> Result<Change, Cause> {
        let (at_ms, limit) = (self.log_ms, self.options.claim_limit);
        let decide = |claim: &Claim| {
            let requested = ActiveClaim { key: claim.key, executor: claim.executor, at_ms };
            let status = self.claims.claim(requested, limit);
            Decision { key: claim.key, claimant: claim.executor, status }
        };
        Ok(Change::ClaimsDecided(claims.iter().map(decide).collect()))
    }

    /// Counts a crash. At the limit, crashes of further fingerprints are ignored.
    fn crash(&mut self, fingerprint: u128, group: Offset) -> Result<Change, Cause> {
        let (now_ms, options) = (self.log_ms, self.options);
        if self.crashes.len() >= options.crash_limit && self.crashes.get(&fingerprint).is_none() {
            return Err(Cause::Full);
        }
        let count = self.crashes(fingerprint, now_ms).saturating_add(1);
        self.crashes.insert(fingerprint, CrashCount { count, last_ms: now_ms });
        let quarantined = count >= options.quarantine_count;
        Ok(Change::CrashCounted { fingerprint, group, at_ms: now_ms, count, quarantined })
    }

    fn mark(&mut self, target: &Target, mark: Mark) -> Result<Change, Cause> {
        match target {
            Target::Instance(name) => {
                if self.instance(name).map_or(Mark::Clear, |instance| instance.mark) == mark {
                    return Err(Cause::Unchanged);
                }
                self.instance_mut(name).mark = mark;
            }
            Target::Entry(address) => {
                let address = SmolStr::new(address);
                match (self.entry_mark(&address), mark) {
                    (known, mark) if known == mark => return Err(Cause::Unchanged),
                    (_, Mark::Clear) => self.entry_marks.remove(&address),
                    (_, mark) => self.entry_marks.insert(address, mark),
                };
            }
        }
        Ok(Change::MarkSet)
    }
}

/// Returns the occupied slot of a new member.
fn slot(member: &Member) -> MemberSlot {
    MemberSlot { instance: (&member.instance).into(), boot: (&member.boot).into(), vacant: false }
}

/// Whether a change affects an input of the planner.
pub(crate) fn affects_planning(change: &Change) -> bool {
    !matches!(change, Change::ClaimsDecided(_) | Change::CrashCounted { .. } | Change::SnapshotPart)
}
