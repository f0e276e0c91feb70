//! The allowance for sending requests again, shared by all nodes of the system.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Windows are counted in steps of this fraction, so that an old window ends step by step.
const STEPS: u32 = 20;
/// Part of the bound that is spent: the rest covers nodes that count requests at other moments.
const SPENT_PART: f64 = 0.7;

/// The bound on repeats within any window, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats allowed for each first send.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// One node's spending on one service.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBudgetLimits,
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    start: Instant,
    firsts: u32,
    repeats: u32,
}

impl RetryBudget {
    /// Starts with nothing counted.
    pub fn new(bound: RetryBudgetLimits) -> Self {
        Self {
            bound,
            steps: VecDeque::new(),
        }
    }

    /// Spends by another bound from now on.
    pub fn set_limits(&mut self, bound: RetryBudgetLimits) {
        self.bound = bound;
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Instant) {
        self.step(now).firsts += 1;
    }

    /// Takes leave to send a request again; `nodes` share the slack.
    pub fn try_retry(&mut self, nodes: usize, now: Instant) -> bool {
        self.step(now);
        let firsts: u32 = self.steps.iter().map(|step| step.firsts).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = self.bound.slack / nodes.max(1) as f64;
        let most = SPENT_PART * (self.bound.ratio * f64::from(firsts) + slack);
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    fn step(&mut self, now: Instant) -> &mut Step {
        let window = self.bound.window;
        let is_old = |step: &Step| now.saturating_duration_since(step.start) > window;
        while self.steps.front().is_some_and(is_old) {
            self.steps.pop_front();
        }
        let length = window / STEPS;
        let is_over = |step: &Step| now.saturating_duration_since(step.start) >= length;
        if self.steps.back().is_none_or(is_over) {
            self.steps.push_back(Step {
                start: now,
                firsts: 0,
                repeats: 0,
            });
        }
        self.steps.back_mut().expect("a step was pushed")
    }
}
