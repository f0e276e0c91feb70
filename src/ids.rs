//! Identifier types that several modules share.

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

            /// Returns the name as a shared pointer; the text is not copied.
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
    /// The name of an entry VM in the settings and in the platform's list of VMs.
    VmId
);
name_type!(
    /// The name of a target, unique within its service.
    TargetId
);
name_type!(
    /// The name of a service, unique among all services.
    ServiceId
);
name_type!(
    /// The name of a data centre.
    DataCentre
);

number_type!(
    /// The number of a ticket; 0 stands for the empty state before the first ticket.
    TicketNumber,
    u64
);
number_type!(
    /// The number of a shard, a partition of a service's keys. A hot key gets a separate shard,
    /// numbered after the hashed shards.
    Shard,
    u32
);
number_type!(
    /// The fencing token of a shard: increases with every assignment of the shard and is never
    /// reused.
    Fence,
    u64
);
number_type!(
    /// The term of a group: increases whenever other VMs are named to control the group.
    Term,
    u64
);
number_type!(
    /// The version of a group's assignment.
    Version,
    u64
);
number_type!(
    /// A random number drawn at process start; distinguishes a restarted process from the previous
    /// one.
    BootId,
    u64
);

/// Identifies a group: some of a service's shards and the targets that serve them, controlled as
/// one unit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The keyed service that the group belongs to.
    pub service: ServiceId,
    /// The index of the group within the service, from 0.
    pub index: u16,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// Returns the hash of a key, which is the same on every VM and in every release.
pub fn key_hash(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}
