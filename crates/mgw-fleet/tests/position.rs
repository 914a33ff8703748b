//! Tests of positions over several eras of the store.

use mgw_fleet::position::{FIRST_ERA, Position, begins_era};

fn position(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

/// Guards against records of a restored store that count as older than those that it has lost, and
/// against numbers that differ from those of builds without eras while the store was never restored.
#[test]
fn packed_positions_are_in_the_order_of_eras_and_offsets() {
    let ascending = [
        position(FIRST_ERA, 0),
        position(FIRST_ERA, 1_000_000_000),
        position(FIRST_ERA + 1, 0),
        position(FIRST_ERA + 1, 7),
        position(FIRST_ERA + 2, 3),
    ];
    let packed: Vec<u64> = ascending.iter().map(|it| it.pack()).collect();
    assert!(packed.is_sorted_by(|one, other| one < other), "{packed:?}");
    assert_eq!(packed[1], 1_000_000_000, "the offset in the first era");
    for (position, packed) in ascending.iter().zip(&packed) {
        assert_eq!(Position::unpack(*packed), *position);
    }
    assert!(begins_era(packed[1], packed[2]) && begins_era(packed[2], packed[4]));
    assert!(!begins_era(packed[2], packed[3]) && !begins_era(packed[3], packed[1]));
    assert!(!begins_era(0, packed[3]), "nothing was known before");
}

/// Guards against terms that instances refuse, as they have seen a higher one, and against epochs of
/// groups beyond 2^53, which JSON numbers do not represent exactly.
#[test]
fn terms_rise_over_eras_and_leave_room_for_epochs() {
    let last = position(FIRST_ERA, (1 << 28) - 1).term();
    assert_eq!(last, (1 << 28) - 1, "the offset in the first era");
    assert!(last < position(FIRST_ERA + 1, 0).term());
    assert!(position(FIRST_ERA + 1, 9).term() < position(FIRST_ERA + 2, 0).term());
    let epochs_per_term = 1_000_000;
    assert!((position(FIRST_ERA + 30, (1 << 28) - 1).term() + 1) * epochs_per_term < 1 << 53);
}
