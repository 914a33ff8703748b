//! The validity rule and the effect of each record.

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

/// Recent publications that are remembered, so that a repeated one is recognised.
const PUBLICATIONS: usize = 64;

/// Longest publication identifier in bytes.
const PUBLICATION_LENGTH: usize = 256;

/// Earlier boots that are remembered per instance, so that a lagging report does not bring one
/// back.
const PAST_BOOTS: usize = 8;

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
                    members: members.iter().map(seat).collect(),
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
            Record::EntryGone { incarnation } => self.gone(offset, *incarnation),
            Record::SnapshotPart { .. } => Ok(Change::SnapshotPart),
        }
    }

    /// Appends of one writer take effect in the order of their sequence, so that a writer that sees
    /// a later append of its own knows that an earlier one can no longer take effect.
    pub(crate) fn check_sequence(&mut self, append_id: UniqueId) -> Result<(), Cause> {
        match self.entries.get_mut(&append_id.incarnation) {
            Some(entry) if append_id.sequence < entry.sequence => Err(Cause::StaleSequence),
            Some(entry) => {
                entry.sequence = append_id.sequence;
                Ok(())
            }
            None => Ok(()),
        }
    }

    pub(crate) fn expire(&mut self) {
        let (now_ms, options) = (self.log_ms, self.options);
        self.claims.expire(now_ms, options.claim_window_ms);
        // Crashes are dropped here only when there are many; `crashes` decides by time.
        if self.crashes.len() >= options.crash_limit {
            self.drop_crashes();
        }
    }

    fn drop_crashes(&mut self) {
        let (now_ms, window_ms) = (self.log_ms, self.options.quarantine_ms);
        self.crashes.retain(|_, crash| now_ms.saturating_sub(crash.last_ms) < window_ms);
    }

    fn check_term(&self, term: u64, writer: Incarnation) -> Result<(), Cause> {
        let current = self.term;
        match term == current.number && current.planner == Some(writer) {
            true => Ok(()),
            false => Err(Cause::TermMismatch { term: current.number }),
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
            return Err(Cause::OffsetZero);
        }
        if publication.len() > PUBLICATION_LENGTH {
            return Err(Cause::PublicationIdTooLong);
        }
        if let Some(version) = self.published_version(publication) {
            return Err(Cause::AlreadyPublished { version });
        }
        if base != self.config.version {
            return Err(Cause::BaseMismatch { version: self.config.version });
        }
        let sheet = (self.options.parse)(text).ok_or(Cause::InvalidSheet)?;
        self.drop_unreferenced(&sheet);
        self.config = Config { version: offset, text: text.into(), sheet: Some(Arc::new(sheet)) };
        if self.publications.len() == PUBLICATIONS {
            self.publications.remove(0);
        }
        self.publications.push((publication.into(), offset));
        Ok(Change::ConfigPublished { version: offset })
    }

    /// Forgets instances that a new sheet does not name and that nothing refers to.
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

    fn join(&mut self, incarnation: Incarnation, joined: Entry) -> Result<Change, Cause> {
        if self.entries.get(&incarnation).is_some() {
            return Err(Cause::DuplicateIncarnation);
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
        self.release(&dead);
        Ok(Change::EntryJoined { incarnation, dead })
    }

    fn gone(&mut self, offset: Offset, incarnation: Incarnation) -> Result<Change, Cause> {
        let now_ms = self.log_ms;
        let entry = self.entries.entry(incarnation, || Entry {
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
        self.release(&[incarnation]);
        Ok(Change::EntryGone { incarnation })
    }

    /// Ends the custody of executors that are proven dead.
    fn release(&mut self, dead: &[Incarnation]) {
        if dead.is_empty() {
            return;
        }
        self.each_instance(|instance| {
            if instance.custody.as_ref().is_some_and(|custody| dead.contains(&custody.executor)) {
                instance.custody = None;
            }
        });
    }

    fn each_instance<F>(&mut self, mut change: F)
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
            return Err(Cause::TermMismatch { term: self.term.number });
        }
        self.term = Term { number: term, planner: Some(incarnation) };
        Ok(Change::PlannerElected { term, planner: incarnation })
    }

    fn check_form(
        &self,
        offset: Offset,
        base: Offset,
        members: &[Member],
        executor: Incarnation,
    ) -> Result<(), Cause> {
        if offset == 0 {
            return Err(Cause::OffsetZero);
        }
        if base != self.config.version {
            return Err(Cause::BaseMismatch { version: self.config.version });
        }
        if members.is_empty() {
            return Err(Cause::NoMembers);
        }
        let mut names: Vec<&str> = members.iter().map(|member| member.instance.as_str()).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(Cause::AlreadyAssigned { instance: pair[0].into(), group: offset });
        }
        members.iter().try_for_each(|member| self.check_free(member, executor))
    }

    /// An instance can be assigned if it is free, its boot is the newest one in the log, and no
    /// other executor's order may still reach it.
    fn check_free(&self, member: &Member, executor: Incarnation) -> Result<(), Cause> {
        let name = || SmolStr::new(&member.instance);
        match self.instance(&member.instance) {
            Some(Instance { assignment: Some(assignment), .. }) => {
                Err(Cause::AlreadyAssigned { instance: name(), group: assignment.group })
            }
            Some(known) if !known.boot.is_empty() && known.boot != member.boot => {
                Err(Cause::BootMismatch { instance: name() })
            }
            _ => self.check_custody(&member.instance, executor),
        }
    }

    fn check_custody(&self, instance: &str, executor: Incarnation) -> Result<(), Cause> {
        match self.blocking_executor(instance, executor) {
            Some(executor) => Err(Cause::CustodyHeld { instance: instance.into(), executor }),
            None => Ok(()),
        }
    }

    fn instance_mut(&mut self, name: &str) -> &mut Instance {
        let key = match self.instances.find(name) {
            Some(key) => key,
            None => self.instances.insert(name.into(), Instance::default()),
        };
        self.instances.get_mut(key).expect("the key was looked up in this table")
    }

    fn form(&mut self, offset: Offset, group: Group) -> Change {
        for (rank, seat) in group.members.iter().enumerate() {
            let assignment = Assignment { group: offset, rank: rank as u32 };
            self.assign(seat, assignment, group.executor, offset);
        }
        self.groups.insert(offset, group);
        Change::GroupFormed { group: offset }
    }

    /// Assigns a free instance; an order to it that still waits for requests to end goes on waiting
    /// under the new fencing token.
    fn assign(
        &mut self,
        seat: &MemberSlot,
        assignment: Assignment,
        executor: Incarnation,
        fence: Offset,
    ) {
        let dead = self.is_dead(executor);
        let instance = self.instance_mut(&seat.instance);
        let boot = seat.boot.clone();
        instance.boot = boot.clone();
        instance.assignment = Some(assignment);
        let drain = instance.custody.as_ref().is_some_and(|custody| custody.drain);
        instance.custody = (!dead).then_some(Custody { executor, fence, boot, drain });
    }

    /// Frees an instance. The planner is to unload it, unless another executor's order may still
    /// reach it; then that custody remains until it is settled.
    fn free(&mut self, name: &str, planner: Incarnation, fence: Offset, drain: bool) {
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
        let group = self.groups.remove(&id).ok_or(Cause::UnknownGroup)?;
        for seat in group.members.iter().filter(|seat| !seat.vacant) {
            self.free(&seat.instance, planner, offset, reason != Reason::MemberLost);
        }
        Ok(Change::GroupDissolved { group: id })
    }

    fn check_replace(
        &self,
        offset: Offset,
        group: Offset,
        lost: &str,
        spare: &Member,
        executor: Incarnation,
    ) -> Result<usize, Cause> {
        if offset == 0 {
            return Err(Cause::OffsetZero);
        }
        let group = self.groups.get(&group).ok_or(Cause::UnknownGroup)?;
        let rank = group.members.iter().position(|seat| seat.instance == lost);
        let rank = rank.ok_or(Cause::NotAMember)?;
        self.check_free(spare, executor)?;
        // The remaining members are ordered to take the new fencing token, so another executor's
        // late order must not reach them either.
        let stay = group.members.iter().enumerate();
        for (_, seat) in stay.filter(|(place, seat)| *place != rank && !seat.vacant) {
            self.check_custody(&seat.instance, executor)?;
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
        let group = self.groups.get_mut(&id).ok_or(Cause::UnknownGroup)?;
        let lost = std::mem::replace(&mut group.members[rank], seat(spare));
        group.fence = offset;
        group.executor = executor;
        let members = group.members.clone();
        if !lost.vacant {
            self.free(&lost.instance, planner, offset, false);
        }
        for (place, seat) in members.iter().enumerate().filter(|(_, seat)| !seat.vacant) {
            let assignment = Assignment { group: id, rank: place as u32 };
            self.assign(seat, assignment, executor, offset);
        }
        Ok(Change::MemberReplaced { group: id, fence: offset })
    }

    fn order_done(&mut self, name: &str, fence: Offset) -> Result<Change, Cause> {
        match self.instances.by_name_mut(name) {
            Some(instance) if instance.custody.as_ref().is_some_and(|it| it.fence == fence) => {
                instance.custody = None;
                instance.settled_fence = fence;
                Ok(Change::OrderSettled { instance: name.into() })
            }
            _ => Err(Cause::NoSuchOrder),
        }
    }

    fn restarted(&mut self, name: &str, boot: &str) -> Result<Change, Cause> {
        let known = self.instance(name);
        if known.is_some_and(|it| it.boot == boot || it.past_boots.iter().any(|past| past == boot))
        {
            return Err(Cause::BootMismatch { instance: name.into() });
        }
        let instance = self.instance_mut(name);
        let old = std::mem::replace(&mut instance.boot, boot.into());
        if !old.is_empty() {
            instance.past_boots.push(old);
        }
        if instance.past_boots.len() > PAST_BOOTS {
            instance.past_boots.remove(0);
        }
        let assignment = instance.assignment.take();
        instance.custody = None;
        instance.settled_fence = 0;
        let left =
            assignment.and_then(|it| Some((it.rank as usize, self.groups.get_mut(&it.group)?)));
        if let Some(seat) = left.and_then(|(rank, group)| group.members.get_mut(rank)) {
            seat.vacant = true;
        }
        let group = assignment.map(|assignment| assignment.group);
        Ok(Change::InstanceRestarted { instance: name.into(), group })
    }

    fn claim(&mut self, claims: &[Claim]) -> Result<Change, Cause> {
        let (at_ms, limit) = (self.log_ms, self.options.claim_limit);
        let decide = |claim: &Claim| {
            let held = ActiveClaim { key: claim.key, executor: claim.executor, at_ms };
            let status = self.claims.claim(held, limit);
            Decision { key: claim.key, claimant: claim.executor, status }
        };
        Ok(Change::ClaimsDecided(claims.iter().map(decide).collect()))
    }

    fn crash(&mut self, fingerprint: u128, group: Offset) -> Result<Change, Cause> {
        let (now_ms, options) = (self.log_ms, self.options);
        if self.crashes.len() >= options.crash_limit && self.crashes.get(&fingerprint).is_none() {
            return Err(Cause::LimitReached);
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

fn seat(member: &Member) -> MemberSlot {
    MemberSlot { instance: (&member.instance).into(), boot: (&member.boot).into(), vacant: false }
}

pub(crate) fn is_planning(change: &Change) -> bool {
    !matches!(change, Change::ClaimsDecided(_) | Change::CrashCounted { .. } | Change::SnapshotPart)
}
