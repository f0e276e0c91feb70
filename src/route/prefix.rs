//! Longest-prefix match of request paths, over a sorted list.

use crate::ids::ServiceId;

/// The path prefixes of all services, sorted.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    sorted: Vec<Prefix>,
}

#[derive(Debug)]
struct Prefix {
    path: String,
    service: ServiceId,
    /// The index of the longest other prefix that this one starts with.
    parent: Option<usize>,
}

impl Prefixes {
    /// Builds the sorted list and the parent links.
    pub(crate) fn new<'a>(prefixes: impl Iterator<Item = (&'a str, &'a ServiceId)>) -> Self {
        let mut all: Vec<_> = prefixes.collect();
        all.sort();
        let mut list = Self::default();
        for (path, service) in all {
            let parent = list.find(path);
            list.sorted.push(Prefix {
                path: path.to_owned(),
                service: service.clone(),
                parent,
            });
        }
        list
    }

    /// Returns the service with the longest prefix that matches a path.
    pub(crate) fn service(&self, path: &str) -> Option<&ServiceId> {
        self.find(path).map(|index| &self.sorted[index].service)
    }

    /// Returns the index of the longest prefix that matches a path.
    ///
    /// Starts at the last entry that does not sort after `path`. Every match is this entry or one
    /// of its parents, so that following the parents finds the longest match first.
    fn find(&self, path: &str) -> Option<usize> {
        let after = self.sorted.partition_point(|p| p.path.as_str() <= path);
        let mut candidate = after.checked_sub(1);
        while let Some(index) = candidate {
            let prefix = &self.sorted[index];
            if path.starts_with(&prefix.path) {
                return Some(index);
            }
            candidate = prefix.parent;
        }
        None
    }
}
