//! The product's planner and the baselines.
//!
//! A baseline replaces [`mgw_group::planner::plan`] only. Detection of failures, orders, custody and
//! the fakes are the same.

use std::cell::Cell;
use std::time::{Duration, Instant as Clock};

use mgw_base::time::Instant;
use mgw_group::planner::{
    Classification, Error, GroupStatus, InstanceStatus, Options, Plan, Planner, Tracker,
};
use mgw_group::planner::{classify, plan};
use mgw_group::view::View;
use mgw_sheet::sheet::Sheet;
use mgw_state::record::{Incarnation, Member, Reason, Record};
use mgw_state::state::State;

/// Who plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product.
    Product,
    /// Groups fixed by the sheet, first fit in sheet order, over all declared instances. When a
    /// member is lost, the group ends; it is formed again once all its members are usable.
    Static,
    /// First fit in sheet order over the usable instances, within a fabric domain. When a member
    /// is lost, the group ends and the free instances are grouped anew. There are no spares.
    SheetOrder,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 3] = [Policy::Product, Policy::Static, Policy::SheetOrder];

    /// Its name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Product => "product",
            Policy::Static => "static",
            Policy::SheetOrder => "sheet-order",
        }
    }

    /// Its planner.
    pub fn planner(self) -> Planner {
        match self {
            Policy::Product => plan,
            Policy::Static => plan_static,
            Policy::SheetOrder => plan_sheet_order,
        }
    }
}

thread_local! {
    static PASSES: Cell<(u64, Duration)> = const { Cell::new((0, Duration::ZERO)) };
}

/// The product's planner, timed.
pub fn timed_plan(
    state: &State,
    view: &View,
    now: Instant,
    me: Incarnation,
    memory: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let begin = Clock::now();
    let outcome = plan(state, view, now, me, memory, options);
    let (count, longest) = PASSES.get();
    PASSES.set((count + 1, longest.max(begin.elapsed())));
    outcome
}

/// The number of passes of [`timed`] on this thread since the last call, and the longest one.
pub fn take_pass_times() -> (u64, Duration) {
    PASSES.take()
}

/// Ends the groups that cannot go on; returns the instances that are free then.
fn end_broken(survey: &Classification, term: u64, records: &mut Vec<Record>) -> Vec<bool> {
    let ends = |it: &&GroupStatus| it.broken || it.drained || it.stuck;
    let ended: Vec<u64> = survey.groups.iter().filter(ends).map(|it| it.group).collect();
    for group in &ended {
        records.push(Record::Dissolve { term, group: *group, reason: Reason::MemberLost });
    }
    let free = |it: &InstanceStatus| {
        it.usable && it.group.is_none_or(|group| ended.binary_search(&group).is_ok())
    };
    survey.instances.iter().map(free).collect()
}

fn form(
    state: &State,
    survey: &Classification,
    (sheet, model): (&Sheet, usize),
    members: &[usize],
    me: Incarnation,
) -> Record {
    let model = &sheet.models[model];
    let member = |it: &usize| {
        let instance = &survey.instances[*it];
        Member { instance: instance.name.to_string(), boot: instance.boot.to_string() }
    };
    Record::Form {
        term: state.term().number,
        base: state.config().version,
        model: model.name.to_string(),
        version: model.version.to_string(),
        members: members.iter().map(member).collect(),
        executor: me,
    }
}

/// Takes the first domain in sheet order with enough instances of `free` for a group of `model`.
fn first_fit(sheet: &Sheet, model: usize, free: &mut [bool]) -> Option<Vec<usize>> {
    let model = &sheet.models[model];
    let size = model.instances as usize;
    let suits = |it: usize| free[it] && sheet.instances[it].accelerator == model.accelerator;
    let candidates: Vec<usize> = (0..sheet.instances.len()).filter(|it| suits(*it)).collect();
    let found = candidates.iter().find_map(|first| {
        let domain = &sheet.instances[*first].domain;
        let here = |it: &&usize| sheet.instances[**it].domain == *domain;
        let members: Vec<usize> = candidates.iter().filter(here).take(size).copied().collect();
        (members.len() == size && size > 0).then_some(members)
    })?;
    for it in &found {
        free[*it] = false;
    }
    Some(found)
}

/// Groups by first fit: the replicas that `missing` asks for by model, then further ones in turns
/// while something fits.
fn fill(sheet: &Sheet, mut missing: Vec<usize>, free: &mut [bool]) -> Vec<(usize, Vec<usize>)> {
    let mut groups = Vec::new();
    for (model, missing) in missing.iter_mut().enumerate() {
        while *missing > 0
            && let Some(members) = first_fit(sheet, model, free)
        {
            *missing -= 1;
            groups.push((model, members));
        }
    }
    loop {
        let before = groups.len();
        for model in 0..sheet.models.len() {
            groups.extend(first_fit(sheet, model, free).map(|members| (model, members)));
        }
        if groups.len() == before {
            return groups;
        }
    }
}

fn plan_static(
    state: &State,
    view: &View,
    now: Instant,
    me: Incarnation,
    memory: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let survey = classify(state, view, now, me, memory, options)?;
    let sheet = state.sheet().ok_or(Error::NoConfig)?;
    let mut records = survey.records.clone();
    let free = end_broken(&survey, state.term().number, &mut records);
    let wanted = sheet.models.iter().map(|it| it.replicas as usize).collect();
    for (model, members) in fill(sheet, wanted, &mut vec![true; sheet.instances.len()]) {
        if members.iter().all(|it| free[*it]) {
            records.push(form(state, &survey, (sheet, model), &members, me));
        }
    }
    records.truncate(options.max_records);
    Ok(Plan { records, unresolved: Vec::new() })
}

fn plan_sheet_order(
    state: &State,
    view: &View,
    now: Instant,
    me: Incarnation,
    memory: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let survey = classify(state, view, now, me, memory, options)?;
    let sheet = state.sheet().ok_or(Error::NoConfig)?;
    let mut records = survey.records.clone();
    let mut free = end_broken(&survey, state.term().number, &mut records);
    if survey.stable {
        let ends = |id: u64| {
            let found = survey.groups.iter().find(|it| it.group == id);
            found.is_some_and(|it| it.broken || it.drained || it.stuck)
        };
        let missing = sheet.models.iter().map(|model| {
            let kept = state.groups().filter(|(id, it)| it.model == model.name && !ends(*id));
            (model.replicas as usize).saturating_sub(kept.count())
        });
        for (model, members) in fill(sheet, missing.collect(), &mut free) {
            records.push(form(state, &survey, (sheet, model), &members, me));
        }
    }
    records.truncate(options.max_records);
    Ok(Plan { records, unresolved: Vec::new() })
}
