//! Replacement of single members of groups.

use mgw_state::record::{Member, Offset, Reason};

use super::{Layout, MemberState, Step, Victims};

impl Layout<'_> {
    /// Replaces the members of a group for which `needs` is true, in the same domain or, if the
    /// other members are spread over domains, in the same zone. With `preempt`, other groups in the
    /// domain may be dissolved for it. Returns false if the replacement is not possible.
    pub(crate) fn replace_members(
        &mut self,
        group: Offset,
        preempt: bool,
        needs: fn(&MemberState) -> bool,
    ) -> bool {
        let Some(index) = self.replicas.iter().position(|replica| replica.id == group) else {
            return false;
        };
        let replica = &self.replicas[index];
        let Some(model) = replica.model else { return false };
        let extra = replica.extra;
        let (mut replaced, kept): (Vec<MemberState>, Vec<MemberState>) =
            replica.members.iter().copied().partition(needs);
        let Some(first) = kept.first() else { return false };
        // A record that replaces a member is valid only if no order of another executor may still
        // reach the remaining members. One replaced member may be under such an order if it is
        // replaced first.
        let blocked = |member: &MemberState| !member.vacant && self.nodes[member.node].blocked;
        if kept.iter().any(blocked) || replaced.iter().filter(|member| blocked(member)).count() > 1
        {
            return false;
        }
        replaced.sort_by_key(|member| !blocked(member));
        let (zone, domain) = (self.nodes[first.node].zone, self.nodes[first.node].domain);
        let in_one_domain = kept.iter().all(|member| self.nodes[member.node].domain == domain);
        let accelerator = self.accelerators[model];
        if kept.iter().any(|member| self.nodes[member.node].accelerator != accelerator) {
            return false;
        }
        if preempt && !extra && in_one_domain {
            let victims = self.find_victims(
                model,
                domain,
                replaced.len(),
                Some(group),
                Victims::LowerPriority,
            );
            let Some((_, groups)) = victims else { return false };
            groups.into_iter().for_each(|group| self.dissolve(group, Reason::Preempted));
        }
        let eligible = |node: &usize| match in_one_domain {
            true => self.nodes[*node].domain == domain,
            false => self.nodes[*node].zone == zone,
        };
        let mut spares: Vec<usize> = self.free_nodes(accelerator).filter(eligible).collect();
        if spares.len() < replaced.len() {
            return false;
        }
        let mut replacements = Vec::new();
        for member in replaced {
            let key = |node: &usize| {
                (*node != member.node, self.nodes[*node].loaded_model != Some(model), *node)
            };
            let Some(spare) = spares.iter().copied().min_by_key(key) else { return false };
            spares.retain(|node| *node != spare);
            replacements.push((member, spare));
        }
        for (member, spare) in replacements {
            self.substitute(group, member, spare);
        }
        true
    }

    /// Replaces one member of a group by the free instance `spare`.
    fn substitute(&mut self, group: Offset, lost: MemberState, spare: usize) {
        if !lost.vacant {
            self.nodes[lost.node].group = None;
        }
        let node = &mut self.nodes[spare];
        node.group = Some(group);
        let spare_member = Member { instance: node.name.to_string(), boot: node.boot.to_string() };
        let lost_name = self.nodes[lost.node].name.clone();
        self.steps.push(Step::Replace { group, lost: lost_name, spare: spare_member });
        let Some(replica) = self.replicas.iter_mut().find(|replica| replica.id == group) else {
            return;
        };
        replica.modified = true;
        replica.ready = false;
        let members = replica.members.iter_mut();
        for member in members.filter(|it| it.node == lost.node && it.vacant == lost.vacant) {
            *member = MemberState {
                node: spare,
                vacant: false,
                lost: false,
                leaving: false,
                straggler: false,
            };
        }
    }
}
