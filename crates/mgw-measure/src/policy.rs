//! The product's planner and the baselines.
//!
//! A baseline replaces only [`mgw_group::planner::plan`]. Failure detection, orders, custody and
//! the simulated services are the same for all policies.

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

/// Policy by which groups are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's own planner.
    Product,
    /// Fixed groups: first fit in sheet order over all declared instances, usable or not. A group
    /// that loses a member is dissolved, and formed again once all its members are usable.
    Static,
    /// First fit in sheet order over the usable instances of a fabric domain. A group that loses a
    /// member is dissolved, and its instances are grouped again with the other free ones. No
    /// instance is kept as a spare.
    SheetOrder,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 3] = [Policy::Product, Policy::Static, Policy::SheetOrder];

    /// Name in the output and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Product => "product",
            Policy::Static => "static",
            Policy::SheetOrder => "sheet-order",
        }
    }

    /// The planning function that nodes use under this policy.
    pub fn planner(self) -> Planner {
        match self {
            Policy::Product => plan,
            Policy::Static => plan_static,
            Policy::SheetOrder => plan_sheet_order,
        }
    }
}

thread_local! {
    /// Number of planning passes on this thread and the duration of the longest one.
    static PASS_TIMES: Cell<(u64, Duration)> = const { Cell::new((0, Duration::ZERO)) };
}

/// Runs the product's planner and records the duration of the pass for [`take_pass_times`].
pub fn timed_plan(
    state: &State,
    view: &View,
    now: Instant,
    executor: Incarnation,
    tracker: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let started = Clock::now();
    let outcome = plan(state, view, now, executor, tracker, options);
    let (count, longest) = PASS_TIMES.get();
    PASS_TIMES.set((count + 1, longest.max(started.elapsed())));
    outcome
}

/// Returns the number of passes of [`timed_plan`] on this thread since the last call of this
/// function and the duration of the longest one, and resets both.
pub fn take_pass_times() -> (u64, Duration) {
    PASS_TIMES.take()
}

/// Adds a record for each broken, drained or stuck group to dissolve it. Returns for each instance
/// whether it is usable and in no remaining group.
fn dissolve_broken(
    classification: &Classification,
    term: u64,
    records: &mut Vec<Record>,
) -> Vec<bool> {
    let must_end = |it: &&GroupStatus| it.broken || it.drained || it.stuck;
    let ended: Vec<u64> =
        classification.groups.iter().filter(must_end).map(|it| it.group).collect();
    for group in &ended {
        records.push(Record::Dissolve { term, group: *group, reason: Reason::MemberLost });
    }
    let free = |it: &InstanceStatus| {
        it.usable && it.group.is_none_or(|group| ended.binary_search(&group).is_ok())
    };
    classification.instances.iter().map(free).collect()
}

/// The record that forms a group of a model, given by its index in the sheet, with `members`, given
/// by their indices.
fn form_record(
    state: &State,
    classification: &Classification,
    (sheet, model): (&Sheet, usize),
    members: &[usize],
    executor: Incarnation,
) -> Record {
    let model = &sheet.models[model];
    let member = |it: &usize| {
        let instance = &classification.instances[*it];
        Member { instance: instance.name.to_string(), boot: instance.boot.to_string() }
    };
    Record::Form {
        term: state.term().number,
        base: state.config().version,
        model: model.name.to_string(),
        version: model.version.to_string(),
        members: members.iter().map(member).collect(),
        executor,
    }
}

/// Takes the instances for a group of `model` from the first domain in sheet order that has enough
/// `free` ones of its accelerator type, and marks them as not free.
fn first_fit(sheet: &Sheet, model: usize, free: &mut [bool]) -> Option<Vec<usize>> {
    let model = &sheet.models[model];
    let size = model.instances as usize;
    let suits = |it: usize| free[it] && sheet.instances[it].accelerator == model.accelerator;
    let candidates: Vec<usize> = (0..sheet.instances.len()).filter(|it| suits(*it)).collect();
    let found = candidates.iter().find_map(|first| {
        let domain = &sheet.instances[*first].domain;
        let in_domain = |it: &&usize| sheet.instances[**it].domain == *domain;
        let members: Vec<usize> = candidates.iter().filter(in_domain).take(size).copied().collect();
        (members.len() == size && size > 0).then_some(members)
    })?;
    for it in &found {
        free[*it] = false;
    }
    Some(found)
}

/// Assigns free instances to groups by first fit: first the `missing` replicas of each model, then
/// additional groups, one per model and round, until none fits. Returns the model and the members
/// of each group, as indices in the sheet.
fn assign_groups(
    sheet: &Sheet,
    mut missing: Vec<usize>,
    free: &mut [bool],
) -> Vec<(usize, Vec<usize>)> {
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

/// Planner of [`Policy::Static`].
fn plan_static(
    state: &State,
    view: &View,
    now: Instant,
    executor: Incarnation,
    tracker: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let classification = classify(state, view, now, executor, tracker, options)?;
    let sheet = state.sheet().ok_or(Error::NoConfig)?;
    let mut records = classification.records.clone();
    let free = dissolve_broken(&classification, state.term().number, &mut records);
    let wanted = sheet.models.iter().map(|it| it.replicas as usize).collect();
    for (model, members) in assign_groups(sheet, wanted, &mut vec![true; sheet.instances.len()]) {
        if members.iter().all(|it| free[*it]) {
            records.push(form_record(state, &classification, (sheet, model), &members, executor));
        }
    }
    records.truncate(options.max_records);
    Ok(Plan { records, unresolved: Vec::new() })
}

/// Planner of [`Policy::SheetOrder`].
fn plan_sheet_order(
    state: &State,
    view: &View,
    now: Instant,
    executor: Incarnation,
    tracker: &mut Tracker,
    options: &Options,
) -> Result<Plan, Error> {
    let classification = classify(state, view, now, executor, tracker, options)?;
    let sheet = state.sheet().ok_or(Error::NoConfig)?;
    let mut records = classification.records.clone();
    let mut free = dissolve_broken(&classification, state.term().number, &mut records);
    if classification.stable {
        let must_end = |id: u64| {
            let found = classification.groups.iter().find(|it| it.group == id);
            found.is_some_and(|it| it.broken || it.drained || it.stuck)
        };
        let missing = sheet.models.iter().map(|model| {
            let kept = state.groups().filter(|(id, it)| it.model == model.name && !must_end(*id));
            (model.replicas as usize).saturating_sub(kept.count())
        });
        for (model, members) in assign_groups(sheet, missing.collect(), &mut free) {
            records.push(form_record(state, &classification, (sheet, model), &members, executor));
        }
    }
    records.truncate(options.max_records);
    Ok(Plan { records, unresolved: Vec::new() })
}
