//! Under random faults, the ticket number held by a VM never decreases, and a VM that restarts
//! becomes ready only with a state at least as new as the one every live VM held before the
//! restart. Also checks properties of the topology and of the ranks.

mod state_sync_support;

use std::time::Duration;

use proptest::prelude::*;

use crate::state_sync_support::Simulation;
use crate::state_sync_support::SimulationConfig;
use crate::state_sync_support::TableState;
use crate::state_sync_support::centre_name;
use crate::state_sync_support::numbers;
use crate::state_sync_support::state;
use crate::state_sync_support::vm_name;
use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::VmId;
use gooseberryloft::member::candidates;
use gooseberryloft::member::ranked;
use gooseberryloft::platform::VmEntry;
use gooseberryloft::platform::VmState;
use gooseberryloft::state_sync::FAN_OUT;
use gooseberryloft::state_sync::RELAYS_PER_DATA_CENTRE;
use gooseberryloft::state_sync::Topology;

const VMS: usize = 9;
const CENTRES: usize = 3;
const TARGETS: usize = 2;

#[derive(Clone, Debug)]
enum Fault {
    Ticket,
    Run(u64),
    Kill(usize),
    Restart(usize),
    TableUp,
    TableDown,
    TableStale,
    List(bool),
    Cut(usize),
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::Ticket),
        4 => (100..4000_u64).prop_map(Fault::Run),
        1 => (0..VMS).prop_map(Fault::Kill),
        3 => (0..VMS).prop_map(Fault::Restart),
        2 => Just(Fault::TableUp),
        1 => Just(Fault::TableDown),
        1 => Just(Fault::TableStale),
        1 => any::<bool>().prop_map(Fault::List),
        1 => (0..CENTRES).prop_map(Fault::Cut),
        1 => Just(Fault::Heal),
    ]
}

/// Highest ticket number that a process held, and the lowest one it may be ready with.
#[derive(Clone, Copy, Default)]
struct Held {
    number: TicketNumber,
    floor: TicketNumber,
}

struct Checker {
    simulation: Simulation,
    held: Vec<Held>,
    held_by_all: TicketNumber,
    accepted: u64,
}

impl Checker {
    fn new(seed: u64, loss: f64) -> Self {
        let simulation = Simulation::new(SimulationConfig {
            vms: VMS,
            data_centres: CENTRES,
            loss,
            tick: Duration::from_millis(50),
            seed,
        });
        Self {
            simulation,
            held: vec![Held::default(); VMS],
            held_by_all: TicketNumber(0),
            accepted: 0,
        }
    }

    fn apply(&mut self, fault: &Fault) {
        match fault {
            // A ticket is accepted by writing it to the table, so not while the table is down.
            Fault::Ticket if self.simulation.table != TableState::Down => {
                self.accepted += 1;
                self.simulation.state = state(self.accepted, TARGETS);
            }
            Fault::Ticket => {}
            Fault::Run(millis) => self.run(*millis),
            Fault::Kill(index) => self.simulation.kill(*index),
            Fault::Restart(index) => {
                self.simulation.kill(*index);
                self.simulation.restart(*index);
                self.held[*index] = Held {
                    number: TicketNumber(0),
                    floor: self.held_by_all,
                };
            }
            Fault::TableUp => self.simulation.table = TableState::Up,
            Fault::TableDown => self.simulation.table = TableState::Down,
            Fault::TableStale => {
                self.simulation.table = TableState::Stale(self.simulation.state.clone())
            }
            Fault::List(down) => self.simulation.list_down = *down,
            Fault::Cut(index) => self.simulation.cut.push(centre_name(*index)),
            Fault::Heal => self.simulation.cut.clear(),
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.simulation.run(Duration::from_millis(100));
            self.check();
        }
    }

    fn check(&mut self) {
        let live = self.simulation.nodes.iter().enumerate();
        let live = live.filter(|(_, node)| node.alive);
        let mut lowest = TicketNumber(u64::MAX);
        for (index, node) in live {
            let number = node.state_sync.view().state.number;
            let held = &mut self.held[index];
            assert!(
                number >= held.number,
                "vm-{index} fell from {}",
                held.number
            );
            held.number = number;
            lowest = lowest.min(number);
            if node.state_sync.is_ready(self.simulation.now) {
                assert!(
                    number >= held.floor,
                    "vm-{index} is ready below {}",
                    held.floor
                );
            }
        }
        if lowest != TicketNumber(u64::MAX) {
            self.held_by_all = self.held_by_all.max(lowest);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn numbers_never_fall_and_ready_means_up_to_date(
        seed in any::<u64>(),
        loss in 0.0..0.1_f64,
        faults in proptest::collection::vec(fault(), 1..40),
    ) {
        let mut checker = Checker::new(seed, loss);
        checker.run(3000);
        for fault in &faults {
            checker.apply(fault);
            checker.run(200);
        }
    }

    #[test]
    fn every_live_vm_holds_the_newest_state_after_faults_end(
        seed in any::<u64>(),
        loss in 0.0..0.05_f64,
        faults in proptest::collection::vec(fault(), 1..30),
    ) {
        let mut checker = Checker::new(seed, loss);
        checker.run(3000);
        for fault in &faults {
            checker.apply(fault);
        }
        checker.apply(&Fault::TableUp);
        checker.apply(&Fault::Heal);
        checker.apply(&Fault::List(false));
        checker.run(20_000);
        let newest = checker.accepted;
        prop_assert!(checker.simulation.all_hold(newest), "{newest}: {:?}", numbers(&checker.simulation));
    }
}

fn entries(vms: usize, centres: usize) -> Vec<VmEntry> {
    let entry = |index: usize| VmEntry {
        vm: vm_name(index),
        data_centre: centre_name(index % centres),
        address: ([127, 0, 0, 1], 1).into(),
        state: VmState::Live,
    };
    (0..vms).map(entry).collect()
}

fn topology(entry: &VmEntry, list: &[VmEntry]) -> Topology {
    Topology::new(&entry.vm, &entry.data_centre, list.iter())
}

proptest! {
    // Parents rank before their children whichever VMs a list lacks, so that VMs with different
    // lists cannot form a cycle.
    #[test]
    fn parents_rank_before_their_children(
        vms in 1..200_usize,
        missing in proptest::collection::vec(any::<prop::sample::Index>(), 0..20),
        me in any::<prop::sample::Index>(),
    ) {
        let all = entries(vms, 2);
        let me = me.get(&all).clone();
        let unlisted: Vec<&VmId> = missing.iter().map(|index| &index.get(&all).vm).collect();
        let listed = all.iter().filter(|entry| entry.vm == me.vm || !unlisted.contains(&&entry.vm));
        let listed: Vec<VmEntry> = listed.cloned().collect();
        let order = ranked("spread", all.iter());
        let rank = |vm: &VmId| order.iter().position(|entry| entry.vm == *vm);
        let topology = topology(&me, &listed);
        prop_assert!(topology.parents.iter().all(|parent| rank(parent) < rank(&me.vm)));
        prop_assert!(topology.parents.is_empty() || topology.parents.len() == RELAYS_PER_DATA_CENTRE);
    }

    #[test]
    fn no_vm_has_more_children_than_the_fan_out(vms in 1..400_usize) {
        let list = entries(vms, 1);
        let mut children = std::collections::BTreeMap::<VmId, usize>::new();
        for entry in &list {
            for parent in topology(entry, &list).parents {
                *children.entry(parent).or_default() += 1;
            }
        }
        prop_assert!(children.values().all(|count| *count <= FAN_OUT));
    }

    #[test]
    fn candidates_are_in_different_data_centres(
        vms in 1..60_usize,
        centres in 1..8_usize,
        count in 1..6_usize,
    ) {
        let list = entries(vms, centres);
        let chosen = candidates("jobs/0", list.iter(), count);
        let data_centres: std::collections::BTreeSet<&DataCentre> =
            chosen.iter().map(|entry| &entry.data_centre).collect();
        prop_assert_eq!(chosen.len(), count.min(vms));
        prop_assert_eq!(data_centres.len(), count.min(vms).min(centres));
    }

    // Removing a VM keeps the order of the others.
    #[test]
    fn a_loss_keeps_the_order_of_the_others(
        vms in 2..60_usize,
        lost in any::<prop::sample::Index>(),
    ) {
        let list = entries(vms, 3);
        let lost = lost.get(&list).vm.clone();
        let names = |list: &[VmEntry]| -> Vec<VmId> {
            ranked("jobs/0", list.iter()).into_iter().map(|entry| entry.vm.clone()).collect()
        };
        let mut before = names(&list);
        let rest: Vec<VmEntry> = list.into_iter().filter(|entry| entry.vm != lost).collect();
        before.retain(|vm| *vm != lost);
        prop_assert_eq!(before, names(&rest));
    }
}
