//! Requests in an engine's batch.

use super::{CACHE, Flaw, Job};
use crate::world::link::Party;
use crate::world::{MILLISECOND, Micros, World};

impl World {
    /// A request arrives at an engine. Returns false if the engine does not serve it now.
    pub(crate) fn arrive_job(&mut self, place: usize, group: u64, job: Job) -> bool {
        let engine = &self.engines[place];
        let serves = engine.hold.group == group && engine.hold.rank == 0 && engine.hold.ready;
        if !serves {
            return false;
        }
        self.engines[place].jobs.push(job);
        self.fill_batch(place);
        true
    }

    fn fill_batch(&mut self, place: usize) {
        let options = self.options.engine;
        loop {
            let engine = &mut self.engines[place];
            let running = engine.jobs.iter().filter(|it| it.running).count();
            if running >= options.slots {
                return;
            }
            let waiting = engine.jobs.iter_mut().filter(|it| !it.running);
            let Some(job) = waiting.min_by_key(|it| (it.priority, it.number)) else { return };
            job.running = true;
            let number = job.number;
            let known = job.prefix != 0 && engine.cache.contains(&job.prefix);
            let prompt = job.prompt + job.next;
            let share = if known { options.uncached_share } else { 1.0 };
            engine.prefixes.0 += u64::from(known);
            engine.prefixes.1 += u64::from(job.prefix != 0 && !known);
            if job.prefix != 0 && !known {
                engine.cache.push_back(job.prefix);
                if engine.cache.len() > CACHE {
                    engine.cache.pop_front();
                }
            }
            let time = (prompt * options.prompt_token_time) as f64 * share * engine.slow;
            if job.poison {
                self.schedule_after(options.crash_delay, move |world| world.crash(place, number));
            }
            self.schedule_after(time as Micros + options.token_time, move |world| {
                world.generate(place, number);
            });
        }
    }

    fn crash(&mut self, place: usize, number: u64) {
        if !self.engines[place].jobs.iter().any(|it| it.number == number) {
            return;
        }
        let name = self.engines[place].name.clone();
        self.note("world", format!("{name} crashes because of a request"));
        self.engines[place].crashes += 1;
        self.stop_engine(place);
        let restart = self.options.engine.restart_delay;
        self.schedule_after(restart, move |world| world.restart(Party::Engine(place)));
    }

    /// Sends the next tokens of a request.
    fn generate(&mut self, place: usize, number: u64) {
        let options = self.options.engine;
        let Some(at) = self.engines[place].jobs.iter().position(|it| it.number == number) else {
            return;
        };
        if !self.is_group_whole(place) || self.engines[place].paused {
            let hold = &self.engines[place].hold;
            let moved = hold.members.iter().any(|member| {
                let other = &self.engines[*member];
                !other.alive || other.hold.group != hold.group
            });
            match moved && !self.engines[place].paused {
                // Collective operations fail at once if a member is gone.
                true => self.end_job(place, number),
                false => {
                    self.schedule_after(100 * MILLISECOND, move |world| {
                        world.generate(place, number)
                    });
                }
            }
            return;
        }
        let flaw = self.engines[place].flaw;
        let job = &mut self.engines[place].jobs[at];
        let tokens = options.chunk_tokens.min(job.total - job.next);
        let from = job.next;
        job.next += tokens;
        let (done, middle) = (job.next >= job.total, job.next * 2 >= job.total);
        let running = self.engines[place].jobs.iter().filter(|it| it.running).count();
        let crowd = 1.0 + running as f64 / options.slots as f64;
        let worst = self.engines[place]
            .hold
            .members
            .iter()
            .map(|member| self.engines[*member].slow)
            .fold(1.0, f64::max);
        let pace =
            (options.token_time as f64 * crowd * worst * options.chunk_tokens as f64) as Micros;
        match flaw {
            Flaw::Duplicate => {
                self.send_piece(place, number, from, tokens, 0);
                self.send_piece(place, number, from, tokens, 0);
            }
            Flaw::Late if (from / options.chunk_tokens).is_multiple_of(2) && !done => {
                self.send_piece(place, number, from, tokens, pace * 2);
            }
            Flaw::Truncated if middle => {}
            Flaw::Broken if middle && from > 0 => {
                self.end_job(place, number);
                return;
            }
            Flaw::Crossed if middle => self.send_crossed(place, number, from, tokens),
            _ => self.send_piece(place, number, from, tokens, 0),
        }
        match done {
            true => {
                self.send_end(place, number);
                self.engines[place].jobs.retain(|it| it.number != number);
                self.fill_batch(place);
            }
            false => self.schedule_after(pace, move |world| world.generate(place, number)),
        }
    }

    /// Time at which a byte of an engine's answer arrives; `None` if it gets lost.
    pub(crate) fn arrival(&mut self, place: usize, number: u64, extra: Micros) -> Option<Micros> {
        let job = self.engines[place].jobs.iter().find(|it| it.number == number)?;
        let who = job.who;
        let delay = self.delay(Party::Engine(place), Party::Entry(who.entry))?;
        let now = self.now;
        let job = self.engines[place].jobs.iter_mut().find(|it| it.number == number)?;
        if extra > 0 {
            return Some(now + delay + extra);
        }
        job.arrival = job.arrival.max(now + delay);
        Some(job.arrival)
    }

    fn end_job(&mut self, place: usize, number: u64) {
        let engine = &mut self.engines[place];
        let Some(at) = engine.jobs.iter().position(|it| it.number == number) else { return };
        let job = engine.jobs.remove(at);
        self.cut_job(place, &job);
        self.fill_batch(place);
    }

    /// Removes a request whose connection the entry has closed.
    pub(crate) fn cancel_job(&mut self, place: usize, number: u64) {
        let before = self.engines[place].jobs.len();
        self.engines[place].jobs.retain(|it| it.number != number);
        if self.engines[place].jobs.len() < before {
            self.fill_batch(place);
        }
    }
}
