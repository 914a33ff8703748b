//! Lists of entries or groups that every entry derives from the log.
//!
//! Sender and receiver share a list, so gossip can send one byte per element, in list order,
//! together with the digest of the list.

/// An element of a list: an entry's incarnation and zero, or a group's id and its fencing token.
pub type Element = (u64, u64);

/// The number of earlier versions that are kept.
///
/// A sender whose log position is a few records behind still uses an earlier version.
const MAX_EARLIER_VERSIONS: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Version {
    /// Hash of the length and all elements.
    digest: u64,
    /// Strictly ascending.
    elements: Vec<Element>,
}

/// The current version of a list and the versions before it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Oldest first; at most `MAX_EARLIER_VERSIONS + 1`.
    versions: Vec<Version>,
}

impl History {
    /// Makes `elements` the current version; they may come in any order and with duplicates.
    pub fn set_current(&mut self, mut elements: Vec<Element>) {
        elements.sort_unstable();
        elements.dedup();
        let digest = elements.iter().fold(elements.len() as u64, |hash, &(left, right)| {
            crate::hash_pair(crate::hash_pair(hash, left), right)
        });
        if self.digest() == Some(digest) {
            return;
        }
        self.versions.retain(|version| version.digest != digest);
        self.versions.push(Version { digest, elements });
        if self.versions.len() > MAX_EARLIER_VERSIONS + 1 {
            self.versions.remove(0);
        }
    }

    /// Returns the digest of the current version; `None` before the first [`Self::set_current`].
    pub fn digest(&self) -> Option<u64> {
        self.versions.last().map(|version| version.digest)
    }

    /// Returns the elements of the current version in ascending order.
    pub fn current(&self) -> &[Element] {
        self.versions.last().map_or(&[], |version| &version.elements)
    }

    /// Returns the elements of the version with `digest`, if that version is still kept.
    pub fn find(&self, digest: u64) -> Option<&[Element]> {
        let version = self.versions.iter().rev().find(|version| version.digest == digest)?;
        Some(&version.elements)
    }

    /// Returns whether the current version contains `element`.
    pub fn contains(&self, element: Element) -> bool {
        self.current().binary_search(&element).is_ok()
    }
}
