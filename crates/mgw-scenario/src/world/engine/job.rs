//! Batch scheduling and token generation of a fake model engine.

use super::{Flaw, Job, PREFIX_CACHE_CAPACITY};
use crate::world::link::Party;
use crate::world::{MILLISECOND, Micros, World};

impl World {
    /// Queues a request at an engine. Returns false if the engine is not the ready first rank of
    /// the group.
    pub(crate) fn admit_job(&mut self, index: usize, group: u64, job: Job) -> bool {
        let engine = &self.engines[index];
        let serves = engine.assignment.group == group
            && engine.assignment.rank == 0
            && engine.assignment.ready;
        if !serves {
            return false;
        }
        self.engines[index].jobs.push(job);
        self.fill_batch(index);
        true
    }

    fn fill_batch(&mut self, index: usize) {
        let options = self.options.engine;
        loop {
            let engine = &mut self.engines[index];
            let running = engine.jobs.iter().filter(|it| it.running).count();
            if running >= options.slots {
                return;
            }
            let waiting = engine.jobs.iter_mut().filter(|it| !it.running);
            let Some(job) = waiting.min_by_key(|it| (it.priority, it.id)) else { return };
            job.running = true;
            let id = job.id;
            let cached = job.prefix != 0 && engine.prefix_cache.contains(&job.prefix);
            let prompt = job.prompt_tokens + job.next_token;
            let share = if cached { options.uncached_share } else { 1.0 };
            engine.prefix_counts.0 += u64::from(cached);
            engine.prefix_counts.1 += u64::from(job.prefix != 0 && !cached);
            if job.prefix != 0 && !cached {
                engine.prefix_cache.push_back(job.prefix);
                if engine.prefix_cache.len() > PREFIX_CACHE_CAPACITY {
                    engine.prefix_cache.pop_front();
                }
            }
            let time = (prompt * options.prompt_token_time) as f64 * share * engine.slowdown;
            if job.poison {
                self.schedule_after(options.crash_delay, move |world| world.crash(index, id));
            }
            self.schedule_after(time as Micros + options.token_time, move |world| {
                world.generate(index, id);
            });
        }
    }

    fn crash(&mut self, index: usize, id: u64) {
        if !self.engines[index].jobs.iter().any(|it| it.id == id) {
            return;
        }
        let name = self.engines[index].name.clone();
        self.trace_text("world", format!("{name} crashes on a poison request"));
        self.engines[index].crashes += 1;
        self.stop_engine(index);
        let restart = self.options.engine.restart_delay;
        self.schedule_after(restart, move |world| world.restart(Party::Engine(index)));
    }

    /// Generates and sends the next chunk of a request. While the engine is paused or a member
    /// does not respond, it tries again every 100 ms.
    fn generate(&mut self, index: usize, id: u64) {
        let options = self.options.engine;
        let Some(position) = self.engines[index].jobs.iter().position(|it| it.id == id) else {
            return;
        };
        if !self.is_group_operational(index) || self.engines[index].paused {
            let assignment = &self.engines[index].assignment;
            let member_gone = assignment.members.iter().any(|member| {
                let other = &self.engines[*member];
                !other.alive || other.assignment.group != assignment.group
            });
            match member_gone && !self.engines[index].paused {
                // Collective operations fail at once if a member has died or left the group.
                true => self.abort_job(index, id),
                false => {
                    self.schedule_after(100 * MILLISECOND, move |world| world.generate(index, id));
                }
            }
            return;
        }
        let flaw = self.engines[index].flaw;
        let job = &mut self.engines[index].jobs[position];
        let tokens = options.chunk_tokens.min(job.total_tokens - job.next_token);
        let from = job.next_token;
        job.next_token += tokens;
        let (done, past_half) =
            (job.next_token >= job.total_tokens, job.next_token * 2 >= job.total_tokens);
        let running = self.engines[index].jobs.iter().filter(|it| it.running).count();
        let load_factor = 1.0 + running as f64 / options.slots as f64;
        let slowdown = self.engines[index]
            .assignment
            .members
            .iter()
            .map(|member| self.engines[*member].slowdown)
            .fold(1.0, f64::max);
        let chunk_time =
            (options.token_time as f64 * load_factor * slowdown * options.chunk_tokens as f64)
                as Micros;
        match flaw {
            Flaw::Duplicate => {
                self.send_piece(index, id, from, tokens, 0);
                self.send_piece(index, id, from, tokens, 0);
            }
            Flaw::Late if (from / options.chunk_tokens).is_multiple_of(2) && !done => {
                self.send_piece(index, id, from, tokens, chunk_time * 2);
            }
            Flaw::Truncated if past_half => {}
            Flaw::Broken if past_half && from > 0 => {
                self.abort_job(index, id);
                return;
            }
            Flaw::Crossed if past_half => self.send_crossed(index, id, from, tokens),
            _ => self.send_piece(index, id, from, tokens, 0),
        }
        match done {
            true => {
                self.send_end(index, id);
                self.engines[index].jobs.retain(|it| it.id != id);
                self.fill_batch(index);
            }
            false => self.schedule_after(chunk_time, move |world| world.generate(index, id)),
        }
    }

    /// Returns the time at which the next byte of an answer arrives, in order unless `extra` delays
    /// it; `None` if it is lost.
    pub(crate) fn arrival(&mut self, index: usize, id: u64, extra: Micros) -> Option<Micros> {
        let job = self.engines[index].jobs.iter().find(|it| it.id == id)?;
        let process_id = job.process_id;
        let delay = self.message_delay(Party::Engine(index), Party::Entry(process_id.entry))?;
        let now = self.now;
        let job = self.engines[index].jobs.iter_mut().find(|it| it.id == id)?;
        if extra > 0 {
            return Some(now + delay + extra);
        }
        job.last_arrival = job.last_arrival.max(now + delay);
        Some(job.last_arrival)
    }

    fn abort_job(&mut self, index: usize, id: u64) {
        let engine = &mut self.engines[index];
        let Some(position) = engine.jobs.iter().position(|it| it.id == id) else { return };
        let job = engine.jobs.remove(position);
        self.disconnect_job(index, &job);
        self.fill_batch(index);
    }

    /// Removes a request after its entry closed the connection.
    pub(crate) fn cancel_job(&mut self, index: usize, id: u64) {
        let before = self.engines[index].jobs.len();
        self.engines[index].jobs.retain(|it| it.id != id);
        if self.engines[index].jobs.len() < before {
            self.fill_batch(index);
        }
    }
}
