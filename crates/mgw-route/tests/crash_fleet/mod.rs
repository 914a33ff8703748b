//! The fleet of the crash model: callers, entries that tell each other what they know, and servers that
//! crash. It has no input or output, and its time is virtual.

use std::collections::HashSet;

use mgw_route::poison::{self, Clearance, Evidence, Part, SETTLE_TIME, Verdict};
use mgw_route::quarantine::{self, Blame, InFlight, Status};
use mgw_route::trial::Seat;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::common::at;

/// Duration of a play and of one step, in ms.
const DURATION_MS: u64 = 60_000;
const STEP_MS: u64 = 10;

/// Time in ms for the entries to tell each other.
pub const CONTACT_MS: u64 = 3_000;

/// Time in ms until a server begins to answer, and until it is done.
const BEGIN_MS: u64 = 120;
const DONE_MS: u64 = 600;

/// Time in ms for which a server that has crashed is away.
const AWAY_MS: u64 = 4_000;

/// Time in ms from a crash until the entries have found out that the server has ended.
const DETECTION_MS: u64 = 70;

/// Interval in ms of datagrams and of heartbeats, and the delay of a heartbeat at a change.
const DATAGRAM_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 1_200;
const CHANGE_DELAY_MS: u64 = 100;

/// Maximum number of blames in a heartbeat, and of news in a datagram.
const MAX_BLAMES: usize = 32;
const MAX_NEWS: usize = 24;

/// Part of the datagrams that are lost.
const LOSS: f64 = 0.02;

/// Maximum number of servers for each attempt of a caller, and of attempts of a caller.
const MAX_ATTEMPTS: u32 = 2;
const MAX_CALLER_ATTEMPTS: u32 = 2;

/// Beginning of all prompts.
const FIRST: Part = Part(1);

/// What crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A part beside parts that sound requests have had all the time.
    PartBesideKnown,
    /// A part beside a part that appears with it, also in sound requests; it is the first one or
    /// comes after it.
    PartBesideNew,
    /// Two parts, in different requests or in the same one.
    TwoParts,
    /// A part, with ordinary crashes and entries that restart.
    PartAndCrashes,
    /// One request that comes again and again.
    Request,
    /// Nothing but ordinary crashes: a sixth of the servers, many times.
    CrashesAlone,
}

#[derive(Clone, Debug)]
struct Request {
    parts: Vec<Part>,
    fingerprint: u128,
    is_deadly: bool,
    /// Number of the caller's attempt.
    caller_attempt: u32,
}

/// A request at a server.
#[derive(Clone, Debug)]
struct Active {
    request: Request,
    entry: usize,
    server: usize,
    sent_ms: u64,
    has_settled: bool,
    is_suspect: bool,
    is_at_risk: bool,
    attempts: u32,
}

#[derive(Debug)]
struct Entry {
    poison: poison::Table,
    quarantine: quarantine::Table,
    blames: Vec<Blame>,
    refuted: Vec<Blame>,
    heartbeat_ms: u64,
    started_ms: u64,
}

impl Entry {
    fn new(incarnation: u64, started_ms: u64) -> Self {
        Self {
            started_ms,
            poison: poison::Table::new(poison::Options::default()),
            quarantine: quarantine::Table::new(quarantine::Options::default(), incarnation),
            blames: Vec::new(),
            refuted: Vec::new(),
            heartbeat_ms: 0,
        }
    }

    /// Whether a request is refused, suspected, and let through to show what is the cause.
    fn admit(&mut self, request: &Request, seat: Seat, now_ms: u64) -> Option<(bool, bool)> {
        let now = at(now_ms);
        let mut is_at_risk = match self.poison.admit(&request.parts, now, |_| seat) {
            Verdict::Clear => false,
            Verdict::AtRisk => true,
            Verdict::Refused { .. } => return None,
        };
        let is_suspect = match self.quarantine.admit(request.fingerprint, now, |_| seat) {
            quarantine::Verdict::Clear => false,
            quarantine::Verdict::Suspect => true,
            quarantine::Verdict::AtRisk => {
                is_at_risk = true;
                true
            }
            quarantine::Verdict::Refused { .. } => return None,
        };
        Some((is_suspect, is_at_risk))
    }
}

#[derive(Clone, Copy, Debug)]
struct Server {
    /// Number of the process at this place.
    process: u64,
    back_ms: u64,
}

/// What callers and servers saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Times in ms at which requests with a deadly part reached servers, by part, sent by entries
    /// that have run for [`CONTACT_MS`]. A deadly request
    /// without such a part counts as one with the part 0.
    pub deadly_arrivals: Vec<(Part, u64)>,
    /// Times of the crashes that they caused, as above.
    pub deadly_crashes: Vec<(Part, u64)>,
    /// Time of each sound request beside deadly ones, and whether it was sent to a server.
    pub sound: Vec<(u64, bool)>,
    /// Time in ms, added up over the entries, for which a sound part alone was quarantined.
    pub wrong_ms: u64,
}

pub struct Fleet {
    cause: Cause,
    rng: SmallRng,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    active: Vec<Active>,
    /// Requests that lost their servers, until these are found to have ended at the time in ms.
    lost: Vec<(u64, u64, Active)>,
    seen: Seen,
    now_ms: u64,
    next_id: u64,
    /// Parts that crash servers.
    deadly_parts: Vec<Part>,
    /// Part that appears with the first deadly one.
    new_part: Part,
    starts_ms: u64,
    /// When the sound requests beside deadly ones begin to come.
    sound_from_ms: u64,
}

impl Fleet {
    /// Creates a fleet whose size and times follow from `seed`.
    pub fn new(cause: Cause, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entry_count = *[3, 9, 30].get(rng.random_range(0..3)).expect("a count");
        let server_count = rng.random_range(12..40);
        let deadly_count = match cause {
            Cause::TwoParts => 2,
            Cause::Request | Cause::CrashesAlone => 0,
            _ => 1,
        };
        let starts_ms = rng.random_range(8_000..12_000);
        let sound_from_ms = starts_ms + rng.random_range(0..8_000);
        Self {
            cause,
            entries: (0..entry_count).map(|it| Entry::new(seed * 1_000 + it, 0)).collect(),
            servers: vec![Server { process: 0, back_ms: 0 }; server_count],
            active: Vec::new(),
            lost: Vec::new(),
            seen: Seen::default(),
            now_ms: 0,
            next_id: 1_000,
            deadly_parts: (0..deadly_count).map(|it| Part(0xdead + it)).collect(),
            new_part: Part(0x77),
            starts_ms,
            sound_from_ms,
            rng,
        }
    }

    fn fresh(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn chance(&mut self, per_second: f64) -> bool {
        self.rng.random::<f64>() < per_second * STEP_MS as f64 / 1_000.0
    }

    /// Plays one minute.
    pub fn play(mut self) -> Seen {
        while self.now_ms < DURATION_MS {
            self.now_ms += STEP_MS;
            self.arrive();
            self.fail_servers();
            self.serve();
            self.detect();
            self.tell();
            let sound = [FIRST, self.new_part];
            let blames = |entry: &Entry| sound.iter().any(|it| entry.poison.is_quarantined(&[*it]));
            let wrong = self.entries.iter().filter(|it| blames(it)).count();
            self.seen.wrong_ms += wrong as u64 * STEP_MS;
        }
        self.seen
    }

    /// New requests of callers.
    fn arrive(&mut self) {
        let is_begun = self.now_ms >= self.starts_ms;
        if self.chance(30.0) {
            let own = Part(self.fresh());
            self.send_new(vec![FIRST, own], false, false);
        }
        if self.cause == Cause::CrashesAlone && self.chance(20.0) {
            // Lookups without a body, all with one fingerprint.
            self.send_new(vec![FIRST], false, true);
        }
        if self.now_ms >= self.sound_from_ms && self.chance(6.0) {
            let own = Part(self.fresh());
            let beside = match self.cause {
                Cause::PartBesideNew => self.new_part,
                _ => FIRST,
            };
            self.send_new(vec![beside, own], false, true);
        }
        if is_begun && self.chance(0.9) {
            let own = Part(self.fresh());
            let deadly = self.deadly_parts.clone();
            let prompt = match (self.cause, deadly.as_slice()) {
                (Cause::PartBesideNew, [deadly]) if self.starts_ms.is_multiple_of(20) => {
                    vec![*deadly, self.new_part, own]
                }
                (Cause::PartBesideNew, [deadly]) => vec![self.new_part, *deadly, own],
                (_, [deadly]) => vec![FIRST, *deadly, own],
                (_, [one, other]) => match self.rng.random_range(0..3) {
                    0 => vec![FIRST, *one, own],
                    1 => vec![FIRST, *other, own],
                    _ => vec![*one, *other, own],
                },
                (Cause::Request, _) => vec![FIRST],
                _ => return,
            };
            self.send_new(prompt, true, false);
        }
    }

    /// A caller sends a request. The last part of the prompt is its own.
    fn send_new(&mut self, mut parts: Vec<Part>, is_deadly: bool, is_counted: bool) {
        let fingerprint = match parts.len() {
            1 => 5,
            _ => u128::from(parts.pop().unwrap_or_default().0) << 64 | 9,
        };
        let request = Request { parts, fingerprint, is_deadly, caller_attempt: 1 };
        let is_sent = self.admit(request);
        if is_counted {
            self.seen.sound.push((self.now_ms, is_sent));
        }
    }

    /// Sends a request to a random entry, and by it to a server; returns whether it did.
    fn admit(&mut self, request: Request) -> bool {
        let entries = self.entries.len();
        let entry = self.rng.random_range(0..entries);
        let seat = Seat { rank: entry, entries };
        let Some((is_suspect, is_at_risk)) = self.entries[entry].admit(&request, seat, self.now_ms)
        else {
            return false;
        };
        let active = Active {
            request,
            entry,
            server: 0,
            sent_ms: 0,
            has_settled: false,
            is_suspect,
            is_at_risk,
            attempts: 0,
        };
        self.send(active)
    }

    /// The deadly parts of a request, or the part 0 if it is deadly without one.
    fn deadly_kinds(&self, request: &Request) -> Vec<Part> {
        let parts = self.deadly_parts.iter().copied();
        let found: Vec<Part> = parts.filter(|it| request.parts.contains(it)).collect();
        match found.is_empty() && request.is_deadly {
            true => vec![Part(0)],
            false => found,
        }
    }

    /// Sends a request to a server that is not away and has no other suspect of the entry.
    fn send(&mut self, mut active: Active) -> bool {
        let is_free = |server: usize, all: &[Active]| {
            let is_other =
                |it: &Active| it.server == server && it.entry == active.entry && it.is_suspect;
            !active.is_suspect || !all.iter().any(is_other)
        };
        let free: Vec<usize> = (0..self.servers.len())
            .filter(|it| self.servers[*it].back_ms <= self.now_ms && is_free(*it, &self.active))
            .collect();
        if free.is_empty() {
            return false;
        }
        active.server = free[self.rng.random_range(0..free.len())];
        active.sent_ms = self.now_ms;
        active.attempts += 1;
        let started_ms = self.entries[active.entry].started_ms;
        if started_ms == 0 || self.now_ms > started_ms + CONTACT_MS {
            let kinds = self.deadly_kinds(&active.request);
            self.seen.deadly_arrivals.extend(kinds.into_iter().map(|it| (it, self.now_ms)));
        }
        self.active.push(active);
        true
    }

    /// Ordinary crashes, and entries that restart.
    fn fail_servers(&mut self) {
        let has_crashes = matches!(self.cause, Cause::CrashesAlone | Cause::PartAndCrashes);
        if has_crashes && self.now_ms.is_multiple_of(5_000) {
            for server in 0..self.servers.len() {
                if self.rng.random::<f64>() < 0.17 {
                    self.crash(server);
                }
            }
        }
        if self.cause == Cause::PartAndCrashes && self.now_ms.is_multiple_of(9_000) {
            let entry = self.rng.random_range(0..self.entries.len());
            let incarnation = self.rng.random();
            self.entries[entry] = Entry::new(incarnation, self.now_ms);
            self.active.retain(|it| it.entry != entry);
            self.lost.retain(|(_, _, it)| it.entry != entry);
        }
    }

    fn crash(&mut self, server: usize) {
        let process = (server as u64) << 32 | self.servers[server].process;
        self.servers[server].process += 1;
        self.servers[server].back_ms = self.now_ms + AWAY_MS;
        let (lost, left): (Vec<Active>, Vec<Active>) =
            std::mem::take(&mut self.active).into_iter().partition(|it| it.server == server);
        self.active = left;
        let found_ms = self.now_ms + DETECTION_MS;
        for active in lost {
            self.lost.push((found_ms, process, active.clone()));
            self.retry(active);
        }
    }

    /// Sends a request again that lost its server: by its entry, and else by its caller.
    fn retry(&mut self, active: Active) {
        let Entry { poison, quarantine, .. } = &self.entries[active.entry];
        let status = quarantine.check(active.request.fingerprint, at(self.now_ms));
        let may_retry = !active.is_at_risk
            && active.attempts < MAX_ATTEMPTS
            && status == Status::Clear
            && !poison.is_quarantined(&active.request.parts)
            && !poison.forbids_retry(&active.request.parts, request_hash(&active.request));
        if may_retry {
            self.send(Active { has_settled: false, ..active });
        } else if active.request.caller_attempt < MAX_CALLER_ATTEMPTS {
            let caller_attempt = active.request.caller_attempt + 1;
            self.admit(Request { caller_attempt, ..active.request });
        }
    }

    /// Servers begin to answer, crash, or complete their answers.
    fn serve(&mut self) {
        let now_ms = self.now_ms;
        let is_deadly = |it: &Active| it.request.is_deadly && now_ms >= it.sent_ms + BEGIN_MS;
        while let Some(index) = self.active.iter().position(is_deadly) {
            let kinds = self.deadly_kinds(&self.active[index].request);
            self.seen.deadly_crashes.extend(kinds.into_iter().map(|it| (it, now_ms)));
            self.crash(self.active[index].server);
        }
        for active in &mut self.active {
            let began_ms = active.sent_ms + BEGIN_MS;
            let settles_ms = began_ms + SETTLE_TIME.as_millis() as u64;
            if active.has_settled || now_ms < settles_ms {
                continue;
            }
            active.has_settled = true;
            let entry = &mut self.entries[active.entry];
            let (began, now) = (at(began_ms), at(now_ms));
            entry.poison.record_answer(&active.request.parts, began, now);
            let refuted = entry.quarantine.record_answer(active.request.fingerprint, began, now);
            entry.refuted.extend(refuted);
        }
        self.active.retain(|it| now_ms < it.sent_ms + DONE_MS);
    }

    /// Entries blame the crashes that they have found out.
    fn detect(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.lost).into_iter().partition(|(at, ..)| *at <= now_ms);
        self.lost = later;
        let crashes: HashSet<(u64, usize)> =
            due.iter().map(|(_, process, it)| (*process, it.entry)).collect();
        let mut crashes: Vec<(u64, usize)> = crashes.into_iter().collect();
        crashes.sort_unstable();
        for (process, index) in crashes {
            let entry = &mut self.entries[index];
            let here: Vec<&Active> = due
                .iter()
                .filter(|(_, other, it)| (*other, it.entry) == (process, index))
                .map(|(.., it)| it)
                .collect();
            let in_flight: Vec<InFlight> = here
                .iter()
                .map(|it| InFlight { fingerprint: it.request.fingerprint, suspect: it.is_suspect })
                .collect();
            entry.blames.extend(entry.quarantine.observe_crash(&in_flight, at(now_ms)));
            for lost in here.into_iter().filter(|it| !it.has_settled) {
                let request = request_hash(&lost.request);
                entry.poison.record_crash(&lost.request.parts, request, process, at(now_ms));
            }
            entry.heartbeat_ms = entry.heartbeat_ms.min(now_ms + CHANGE_DELAY_MS);
        }
    }

    /// Entries send datagrams and heartbeats.
    fn tell(&mut self) {
        let now_ms = self.now_ms;
        for sender in 0..self.entries.len() {
            if now_ms.is_multiple_of(DATAGRAM_MS) {
                let (evidence, answers) = self.entries[sender].poison.news(MAX_NEWS, at(now_ms));
                self.send_datagrams(sender, &evidence, &answers);
            }
            if now_ms >= self.entries[sender].heartbeat_ms {
                self.send_heartbeat(sender);
            }
        }
        if now_ms.is_multiple_of(1_000) {
            for entry in &mut self.entries {
                entry.poison.tick(at(now_ms));
                entry.quarantine.tick(at(now_ms));
                entry.poison.take_changes();
            }
        }
    }

    fn send_datagrams(&mut self, sender: usize, evidence: &[Evidence], answers: &[Clearance]) {
        for receiver in (0..self.entries.len()).filter(|it| *it != sender) {
            if self.rng.random::<f64>() < LOSS {
                continue;
            }
            let entry = &mut self.entries[receiver];
            evidence.iter().for_each(|it| entry.poison.merge(*it, false, at(self.now_ms)));
            answers.iter().for_each(|it| entry.poison.clear(*it));
        }
    }

    fn send_heartbeat(&mut self, sender: usize) {
        let now = at(self.now_ms);
        let entry = &mut self.entries[sender];
        entry.heartbeat_ms = self.now_ms + HEARTBEAT_MS;
        let newest = |all: &[Blame]| all[all.len().saturating_sub(MAX_BLAMES)..].to_vec();
        let (blames, refuted) = (newest(&entry.blames), newest(&entry.refuted));
        let parts = entry.poison.published(MAX_BLAMES);
        for receiver in (0..self.entries.len()).filter(|it| *it != sender) {
            let entry = &mut self.entries[receiver];
            blames.iter().for_each(|it| entry.quarantine.merge(*it, now, now));
            refuted.iter().for_each(|it| entry.quarantine.refute(*it, now));
            parts.iter().for_each(|(it, is_told)| entry.poison.merge(*it, *is_told, now));
        }
    }
}

/// The hash of a request in evidence against parts.
fn request_hash(request: &Request) -> u64 {
    request.fingerprint as u64 ^ (request.fingerprint >> 64) as u64
}
