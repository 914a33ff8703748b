//! Positions of records in the topics of the store.
//!
//! Within an era, the store numbers the records of a topic without gaps. When it comes back from an
//! older copy, a new era begins: the records after the copy are lost, and their offsets are given
//! out again. Offsets can therefore be compared within an era only, and any record of a later era is
//! newer.
//!
//! Entries compare positions, store them and tell them each other as one number, in which the era
//! comes first. In the first era that number is the offset, as builds without eras have it.

/// Era of a store that has never come back from an older copy.
pub const FIRST_ERA: u64 = 1;

/// Number of bits of a packed position that hold the offset.
const OFFSET_BITS: u32 = 40;

/// Number of bits of a term that hold the offset. Epochs of groups are multiples of the term, and
/// those of 31 eras stay below 2^53, up to which JSON numbers are exact everywhere.
const TERM_OFFSET_BITS: u32 = 28;

/// Position of a record in a topic, or of the end of what is known of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store, from [`FIRST_ERA`] on.
    pub era: u64,
    /// Offset within the era.
    pub offset: u64,
}

impl Position {
    /// Returns the position as one number. Numbers are in the order of the positions.
    pub fn pack(self) -> u64 {
        (self.era.saturating_sub(FIRST_ERA) << OFFSET_BITS) + self.offset
    }

    /// Returns the position that `packed` stands for.
    pub fn unpack(packed: u64) -> Self {
        let offset = packed & ((1 << OFFSET_BITS) - 1);
        Self { era: (packed >> OFFSET_BITS) + FIRST_ERA, offset }
    }

    /// Returns the term of the planner that the leader record at this position names. Terms are in
    /// the order of the positions, so that instances refuse orders of an earlier planner also after
    /// offsets have gone back.
    pub fn term(self) -> u64 {
        (self.era.saturating_sub(FIRST_ERA) << TERM_OFFSET_BITS) + self.offset
    }
}

/// Whether the packed position `newer` is of a later era than `older`. A topic of which nothing is
/// known ends at 0, and no era follows it.
pub fn begins_era(older: u64, newer: u64) -> bool {
    older > 0 && Position::unpack(older).era < Position::unpack(newer).era
}

/// Whether the packed position `packed` is of an era that began with a restore.
pub fn is_after_restore(packed: u64) -> bool {
    Position::unpack(packed).era > FIRST_ERA
}
