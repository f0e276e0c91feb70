//! The users' sizes: data centres, targets, slots and delays.

use std::collections::BTreeMap;

use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;

/// One service of one user, as the entries see it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The user's name.
    pub user: &'static str,
    /// The number of data centres.
    pub data_centres: usize,
    /// The number of entries, spread over the data centres in turn.
    pub entries: usize,
    /// The number of targets, spread over the data centres in turn.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Connections of each target over all entries.
    pub connections: u16,
    /// One way between two data centres, in microseconds.
    pub far_micros: u64,
    /// One way within a data centre, in microseconds.
    pub near_micros: u64,
}

/// Vitrinas' street reports: unkeyed, two slots a target.
pub const VITRINAS: Fleet = Fleet {
    user: "vitrinas",
    data_centres: 3,
    entries: 12,
    targets: 10,
    slots: 2,
    connections: 45,
    far_micros: 4_500,
    near_micros: 250,
};

/// The Guild's roster: unkeyed, six slots a target.
pub const GUILD: Fleet = Fleet {
    user: "guild",
    data_centres: 4,
    entries: 12,
    targets: 12,
    slots: 6,
    connections: 130,
    far_micros: 3_000,
    near_micros: 250,
};

impl Fleet {
    /// Returns all slots.
    pub fn capacity(&self) -> usize {
        self.targets * usize::from(self.slots)
    }

    /// Returns the data centre of an entry or target.
    pub fn centre(&self, index: usize) -> usize {
        index % self.data_centres
    }

    /// Returns the one-way delay between two data centres, in microseconds.
    pub fn delay(&self, from: usize, to: usize) -> u64 {
        if from == to {
            self.near_micros
        } else {
            self.far_micros
        }
    }

    /// Returns the view of the service.
    pub fn view(&self) -> View {
        let service = Service {
            prefix: "/desk/".to_owned(),
            keying: None,
            idempotent: vec!["GET".to_owned()],
            priority: 1,
            spread_percent: 0,
            deadline_ms: 1_000,
            targets: (0..self.targets).map(|i| self.target(i)).collect(),
        };
        let services = BTreeMap::from([(service_id(), service)]);
        let number = TicketNumber(1);
        View {
            state: InForce { number, services },
            groups: BTreeMap::new(),
        }
    }

    fn target(&self, index: usize) -> (TargetId, Target) {
        let target = Target {
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: centre_id(self.centre(index)),
            slots: self.slots,
            connections: self.connections,
            checks_term: true,
            group: 0,
            state: TargetState::Serving,
        };
        (target_id(index), target)
    }
}

/// Names the one service.
pub fn service_id() -> ServiceId {
    ServiceId::from("work")
}

/// Names a target.
pub fn target_id(index: usize) -> TargetId {
    TargetId::from(format!("target-{index:03}"))
}

/// Names a data centre.
pub fn centre_id(index: usize) -> DataCentre {
    DataCentre::from(format!("dc-{index}"))
}
