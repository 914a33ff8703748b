//! New groups on free instances.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::config::{Config, Engine, Model};
use crate::plan::intent::Member;
use crate::plan::{Action, Demand, Intent, Phase, Planner, command};
use crate::roster::{self, Roster, Server, Stage};

/// Time over which starts of loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// What an instance needs before it can be a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Effort {
    /// The model is in memory.
    None,
    /// The weights are on the host.
    Warm,
    /// The weights have to be loaded.
    Load,
}

fn effort(server: &Server, model: &Model) -> Effort {
    let Some(engine) = &server.record.engine else { return Effort::Load };
    match engine.model.as_ref() {
        Some(held) if *held == model.name => Effort::None,
        _ if engine.staged.contains(&model.name) => Effort::Warm,
        _ => Effort::Load,
    }
}

/// A group that could be formed.
struct Site<'a> {
    members: Vec<&'a Server>,
    loads: usize,
    /// The sum of the members' efforts.
    effort: usize,
    /// Free instances of the domain that remain.
    rest: usize,
}

impl Planner {
    /// Forms groups while free instances and the weight store's limits allow.
    pub(super) fn fill(
        &mut self,
        roster: &Roster,
        config: &Config,
        demand: &Demand,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.loads.retain(|at| now.since(*at) < LOAD_WINDOW);
        for (service, settings) in config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            while let Some(intent) = self.next_group(service, engine, roster, demand, now) {
                let servers = intent.members.iter().filter_map(|it| roster.by_id(&it.id));
                actions.extend(servers.map(|server| command(server, intent.join())));
                let names: Vec<&str> = intent.members.iter().map(|it| it.id.as_str()).collect();
                let text = format_smolstr!("formed for {} on {}", intent.model, names.join(","));
                self.note(&intent.name.clone(), text);
                self.intents.push(intent);
            }
        }
    }

    fn next_group(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        roster: &Roster,
        demand: &Demand,
        now: Instant,
    ) -> Option<Intent> {
        let free = self.free(service, roster);
        let room = self.load_room(engine, roster);
        let mut models: Vec<&Model> = engine.models.iter().collect();
        let supply = |model: &Model| self.supply(service, model) / need(service, model, demand);
        models.sort_by(|one, other| supply(one).total_cmp(&supply(other)));
        let (model, site) =
            models.into_iter().find_map(|model| Some((model, site(&free, model, room)?)))?;
        let members = site
            .members
            .iter()
            .map(|server| Member { id: server.id.clone(), born: server.record.born })
            .collect();
        self.loads.extend(std::iter::repeat_n(now, site.loads));
        let epoch = self.next_epoch();
        Some(Intent::joining(service, epoch, &model.name, members, now))
    }

    /// Free instances by domain, in the order of their ids.
    fn free<'a>(&self, service: &SmolStr, roster: &'a Roster) -> Map<SmolStr, Vec<&'a Server>> {
        let mut domains: Map<SmolStr, Vec<&Server>> = Map::default();
        for (_, server) in roster.iter() {
            let record = &server.record;
            let is_free = record.service == *service
                && record.phase == roster::Phase::Ready
                && server.missing.is_none()
                && !self.watch.is_lost(&server.id)
                && !self.is_taken(server);
            match &record.engine {
                Some(engine) if is_free => {
                    domains.entry(engine.domain.clone(), Vec::new).push(server);
                }
                _ => {}
            }
        }
        domains
    }

    fn is_taken(&self, server: &Server) -> bool {
        self.intents.iter().any(|intent| {
            intent
                .members
                .iter()
                .any(|member| member.id == server.id && member.born == server.record.born)
        })
    }

    /// Loads that may start now.
    fn load_room(&self, engine: &Engine, roster: &Roster) -> usize {
        let joining = self.intents.iter().filter(|intent| intent.phase == Phase::Joining);
        let loading = joining
            .flat_map(|intent| intent.members.iter().map(move |member| (intent, member)))
            .filter(|(intent, member)| {
                let server = roster.by_id(&member.id);
                let stage =
                    server.and_then(|it| it.record.seat()).filter(|seat| seat.group == intent.name);
                stage.is_none_or(|seat| seat.stage == Stage::Joining)
            })
            .count();
        let rate = (engine.loads_per_s as usize).saturating_sub(self.loads.len());
        // A group starts as a whole, so that the last one may exceed the number at once.
        match loading < engine.loads_at_once {
            true => rate,
            false => 0,
        }
    }

    /// Relative throughput of a model's groups.
    fn supply(&self, service: &SmolStr, model: &Model) -> f64 {
        let groups = self
            .intents
            .iter()
            .filter(|intent| {
                intent.service == *service
                    && intent.model == model.name
                    && matches!(intent.phase, Phase::Joining | Phase::Opening | Phase::Open)
            })
            .count();
        groups as f64 / model.pace
    }
}

/// Relative need of a model: its share of the observed requests, or the configured one.
fn need(service: &SmolStr, model: &Model, demand: &Demand) -> f64 {
    demand.get(&(service.clone(), model.name.clone())).copied().unwrap_or(model.share).max(0.02)
}

/// The best place for a group of `model`: the least effort, then the domain that the group fills
/// best.
fn site<'a>(free: &Map<SmolStr, Vec<&'a Server>>, model: &Model, room: usize) -> Option<Site<'a>> {
    free.iter()
        .filter(|(_, servers)| servers.len() >= model.size)
        .map(|(_, servers)| {
            let mut members = servers.clone();
            members.sort_by_key(|server| effort(server, model));
            members.truncate(model.size);
            let loads =
                members.iter().filter(|server| effort(server, model) == Effort::Load).count();
            let effort = members.iter().map(|server| effort(server, model) as usize).sum();
            let rest = servers.len() - model.size;
            Site { members, loads, effort, rest }
        })
        .filter(|site| site.loads <= room)
        .min_by_key(|site| (site.effort, site.rest))
}
