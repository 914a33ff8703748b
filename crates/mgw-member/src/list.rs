//! Lists that all entries derive from the log, so that gossip can send one byte per element.

/// An element: an entry's incarnation and zero, or a group's id and fencing token.
pub type Element = (u64, u64);

/// The number of earlier lists that are kept.
///
/// A sender that is a few records behind in the log still uses an earlier list.
const KEPT: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Version {
    digest: u64,
    /// Strictly ascending.
    elements: Vec<Element>,
}

/// The current list and its latest predecessors.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The newest is last; at most `KEPT + 1`.
    versions: Vec<Version>,
}

impl History {
    /// Makes `elements`, in any order, the current list.
    pub fn set_current(&mut self, mut elements: Vec<Element>) {
        elements.sort_unstable();
        elements.dedup();
        let digest = elements.iter().fold(elements.len() as u64, |hash, &(left, right)| {
            crate::mix(crate::mix(hash, left), right)
        });
        if self.digest() == Some(digest) {
            return;
        }
        self.versions.retain(|version| version.digest != digest);
        self.versions.push(Version { digest, elements });
        if self.versions.len() > KEPT + 1 {
            self.versions.remove(0);
        }
    }

    /// The digest of the current list.
    pub fn digest(&self) -> Option<u64> {
        self.versions.last().map(|version| version.digest)
    }

    /// The current list, ascending.
    pub fn current(&self) -> &[Element] {
        self.versions.last().map_or(&[], |version| &version.elements)
    }

    /// The list with `digest`, if it is current or was lately.
    pub fn find(&self, digest: u64) -> Option<&[Element]> {
        let version = self.versions.iter().rev().find(|version| version.digest == digest)?;
        Some(&version.elements)
    }

    /// Whether `element` is on the current list.
    pub fn contains(&self, element: Element) -> bool {
        self.current().binary_search(&element).is_ok()
    }
}
