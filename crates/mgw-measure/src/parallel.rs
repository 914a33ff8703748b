//! Runs independent jobs on a fixed number of threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Upper limit of threads per call of [`map`].
pub const MAX_THREADS: usize = 8;

/// Applies `work` to each job on up to [`MAX_THREADS`] threads and returns the results in the order
/// of the jobs.
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
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    let result = work(job);
                    if let Ok(mut slot) = results[index].lock() {
                        *slot = Some(result);
                    }
                }
            });
        }
    });
    // A panic in a job is propagated by the scope, so every slot is filled here.
    results.into_iter().filter_map(|slot| slot.into_inner().ok().flatten()).collect()
}
