//! Runs independent jobs on several threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Threads at most.
pub const MAX_THREADS: usize = 8;

/// Applies `work` to each job. The results are in the order of the jobs.
pub fn map<T, U, F>(jobs: &[T], work: F) -> Vec<U>
where
    T: Sync,
    U: Send,
    F: Fn(&T) -> U + Sync,
{
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<U>>> = jobs.iter().map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..MAX_THREADS.min(jobs.len()) {
            scope.spawn(|| {
                loop {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(place) else { return };
                    let result = work(job);
                    if let Ok(mut slot) = results[place].lock() {
                        *slot = Some(result);
                    }
                }
            });
        }
    });
    // A job that panics makes the scope panic, so every slot is filled here.
    results.into_iter().filter_map(|slot| slot.into_inner().ok().flatten()).collect()
}
