//! Identifiers shared by every slice.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the name as a shared pointer, without copying the text.
            pub fn to_arc(&self) -> Arc<str> {
                self.0.clone()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next higher value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// Names one entry VM, as the settings and the platform's list give it.
    VmId
);
name_type!(
    /// Names one target within its service.
    TargetId
);
name_type!(
    /// Names one service.
    ServiceId
);
name_type!(
    /// Names one data centre.
    DataCentre
);

number_type!(
    /// Numbers the tickets; 0 is the empty state before the first.
    TicketNumber,
    u64
);
number_type!(
    /// Numbers one partition of a service's keys; hot keys get shards past the hashed range.
    Shard,
    u32
);
number_type!(
    /// Rises with every assignment of a shard and never repeats.
    Fence,
    u64
);
number_type!(
    /// Rises with every change of the VMs named to control a group.
    Term,
    u64
);
number_type!(
    /// Numbers the states of one group's assignment.
    Version,
    u64
);
number_type!(
    /// Drawn at random by each process start; tells a restarted process from its predecessor.
    BootId,
    u64
);

/// One part of the control work: a set of a service's shards with the targets that serve them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The keyed service.
    pub service: ServiceId,
    /// The index of the group within the service, from 0.
    pub index: u16,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// Hashes a key; the same on every VM and in every version.
pub fn key_hash(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}
