//! The plain policies that the router is measured against.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use strum::Display;

use crate::fleet::Fleet;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Any target.
    Random,
    /// Each in turn, per entry.
    RoundRobin,
    /// The target with the least requests of the own entry.
    LocalLeast,
    /// The better of two random targets by requests of the own entry.
    TwoChoices,
    /// One queue that sees every slot at once.
    Central,
    /// The router under test.
    Router {
        /// Whether entries tell each other their requests in flight.
        shares: bool,
        /// Requests that a target queues before it sheds.
        queue: usize,
    },
}

/// The state of the plain policies.
#[derive(Debug)]
pub struct Plain {
    turns: Vec<usize>,
    in_flight: Vec<Vec<u32>>,
    reserved: Vec<u16>,
}

impl Policy {
    /// Names the policy.
    pub fn label(self) -> String {
        match self {
            Self::Router {
                shares: true,
                queue: 0,
            } => "router".to_owned(),
            Self::Router { shares, queue } => {
                let shares = if shares { "" } else { " alone" };
                let queue = if queue == 0 {
                    String::new()
                } else {
                    format!(" target queue {queue}")
                };
                format!("router{shares}{queue}")
            }
            other => other.to_string(),
        }
    }
}

impl Plain {
    /// Starts idle.
    pub fn new(fleet: &Fleet) -> Self {
        Self {
            turns: (0..fleet.entries).collect(),
            in_flight: vec![vec![0; fleet.targets]; fleet.entries],
            reserved: vec![0; fleet.targets],
        }
    }

    /// Chooses a target for a request of an entry.
    pub fn choose(&mut self, policy: Policy, entry: usize, rng: &mut ChaCha8Rng) -> usize {
        let counts = &mut self.in_flight[entry];
        let targets = counts.len();
        let mut draw = || rng.random_range(0..targets);
        let target = match policy {
            Policy::RoundRobin => {
                self.turns[entry] += 1;
                self.turns[entry] % targets
            }
            Policy::LocalLeast => {
                let start = draw();
                let from = |i: usize| (start + i) % targets;
                let least = (0..targets).map(from).min_by_key(|&t| counts[t]);
                least.unwrap_or(start)
            }
            Policy::TwoChoices => {
                let (one, other) = (draw(), draw());
                if counts[other] < counts[one] {
                    other
                } else {
                    one
                }
            }
            Policy::Random | Policy::Central | Policy::Router { .. } => draw(),
        };
        counts[target] += 1;
        target
    }

    /// Records that a request came back to its entry.
    pub fn ended(&mut self, policy: Policy, entry: usize, target: usize) {
        if policy != Policy::Central {
            self.in_flight[entry][target] -= 1;
        }
    }

    /// Takes the nearest slot that is free and not promised.
    pub fn nearest_idle(&mut self, fleet: &Fleet, entry: usize, slots: u16) -> Option<usize> {
        let centre = fleet.centre(entry);
        let idle = (0..self.reserved.len()).filter(|&t| self.reserved[t] < slots);
        let cost = |&t: &usize| (fleet.delay(centre, fleet.centre(t)), self.reserved[t]);
        let best = idle.min_by_key(cost)?;
        self.reserved[best] += 1;
        Some(best)
    }

    /// Gives a slot back.
    pub fn left(&mut self, target: usize) {
        self.reserved[target] -= 1;
    }
}
