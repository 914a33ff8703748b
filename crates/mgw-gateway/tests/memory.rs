//! Tests of the memory budget of message bodies.

use mgw_gateway::memory::{Budget, Exhausted};

/// Guards against a budget that is exceeded by several holders together, or that shrinks because
/// bytes are not returned.
#[test]
fn reservations_share_the_limit_and_return_their_bytes() {
    let budget = Budget::new(100);
    let mut first = budget.reserve();
    let mut second = budget.reserve();
    assert_eq!(first.grow_to(60), Ok(()));
    assert_eq!(first.grow_to(50), Ok(()), "less than is reserved");
    assert_eq!(second.grow_to(41), Err(Exhausted));
    assert_eq!(second.grow_to(40), Ok(()));
    assert!(!budget.fits(1) && !budget.fits(usize::MAX));
    drop(first);
    assert_eq!(budget.used(), 40);
    assert_eq!(second.grow_to(100), Ok(()));
    drop(second);
    assert_eq!(budget.used(), 0);
}
