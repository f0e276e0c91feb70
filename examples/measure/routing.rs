//! Experiments on unkeyed services: slots, overload, failures and misleading endpoints.

use crate::fleet::Fleet;
use crate::fleet::GUILD;
use crate::fleet::VITRINAS;
use crate::policy::Policy;
use crate::report::Figure;
use crate::report::Report;
use crate::report::Row;
use crate::report::figure;
use crate::sim;
use crate::sim::Fault;
use crate::sim::Outcome;
use crate::sim::Setup;

const SERVICE_MICROS: f64 = 50_000.0;
const PATIENCE_MICROS: u64 = 2_000_000;
const REQUESTS: usize = 100_000;

const ROUTER: Policy = Policy::Router {
    shares: true,
    queue: 0,
};

/// The router of entries that tell each other nothing.
const ALONE: Policy = Policy::Router {
    shares: false,
    queue: 0,
};

const SLOTS_CASE: &str = "2-slot unkeyed targets, 12 entries, 80% busy";
const ALONE_CASE: &str = "the same, entries that tell each other nothing";

const POLICIES: [Policy; 8] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LocalLeast,
    Policy::TwoChoices,
    Policy::Central,
    ALONE,
    Policy::Router {
        shares: true,
        queue: 2,
    },
    ROUTER,
];

/// Time in system at 80 % of the slots busy, against one queue that sees everything.
pub fn slots(report: &mut Report, seed: u64) {
    for fleet in [VITRINAS, GUILD] {
        for service_ms in [20, 50, 100] {
            let mut all = Vec::new();
            for policy in POLICIES {
                let mut setup = setup(&fleet, policy, seed);
                setup.service_micros = f64::from(service_ms) * 1e3;
                setup.patience = 60_000_000;
                all.push((policy, sim::run(setup)));
            }
            let case = format!("{} 80% busy, {service_ms} ms", fleet.user);
            let ideal = find(&all, Policy::Central).clone();
            for (policy, outcome) in &all {
                let ratios = vec![
                    figure("mean", outcome.mean() / ideal.mean(), "x"),
                    figure("p99", outcome.quantile(0.99) / ideal.quantile(0.99), "x"),
                ];
                push(report, "slots", &case, *policy, outcome, ratios);
            }
            if fleet.user == VITRINAS.user && service_ms == 50 {
                judge_slots(report, SLOTS_CASE, find(&all, ROUTER), &ideal);
                judge_slots(report, ALONE_CASE, find(&all, ALONE), &ideal);
            }
        }
    }
}

fn judge_slots(report: &mut Report, case: &'static str, router: &Outcome, ideal: &Outcome) {
    let mean = router.mean() / ideal.mean();
    let tail = router.quantile(0.99) / ideal.quantile(0.99);
    report.judge(
        case,
        "mean at most 1.10 x, p99 at most 1.25 x the all-seeing queue's",
        format!("mean {mean:.3} x, p99 {tail:.3} x at 50 ms of work"),
        mean <= 1.10 && tail <= 1.25,
    );
}

/// Goodput at twice the capacity.
pub fn overload(report: &mut Report, seed: u64) {
    let mut least = f64::MAX;
    let mut least_alone = f64::MAX;
    for fleet in [VITRINAS, GUILD] {
        for policy in POLICIES {
            let mut setup = setup(&fleet, policy, seed);
            setup.load = 2.0;
            let outcome = sim::run(setup);
            match policy {
                ROUTER => least = least.min(outcome.goodput),
                ALONE => least_alone = least_alone.min(outcome.goodput),
                _ => {}
            }
            let goodput = vec![figure("goodput", outcome.goodput, "")];
            let case = format!("{} twice the capacity", fleet.user);
            push(report, "overload", &case, policy, &outcome, goodput);
        }
    }
    judge_goodput(report, "twice the capacity", least);
    judge_goodput(
        report,
        "twice the capacity, entries that tell each other nothing",
        least_alone,
    );
}

fn judge_goodput(report: &mut Report, case: &'static str, goodput: f64) {
    report.judge(
        case,
        "goodput at least 95% of capacity",
        format!("{:.1}%, the lesser of both users", goodput * 100.0),
        goodput >= 0.95,
    );
}

/// Requests sent while a third of the targets break every connection.
pub fn failing(report: &mut Report, seed: u64) {
    let mut most: f64 = 0.0;
    let mut most_alone: f64 = 0.0;
    for fleet in [VITRINAS, GUILD] {
        for load in [0.3, 0.5] {
            for policy in [Policy::Random, Policy::LocalLeast, ALONE, ROUTER] {
                let mut setup = setup(&fleet, policy, seed);
                setup.load = load;
                setup.fault = Fault::Breaks;
                setup.faulty = fleet.targets / 3;
                let outcome = sim::run(setup);
                match policy {
                    ROUTER => most = most.max(outcome.sent_ratio()),
                    ALONE => most_alone = most_alone.max(outcome.sent_ratio()),
                    _ => {}
                }
                let case = format!("{} a third fails, load {load}", fleet.user);
                push(report, "failing", &case, policy, &outcome, Vec::new());
            }
        }
    }
    judge_sent(report, "retries while a third of the targets fail", most);
    let alone = "retries while a third fail, entries that tell each other nothing";
    judge_sent(report, alone, most_alone);
}

fn judge_sent(report: &mut Report, case: &'static str, sent: f64) {
    report.judge(
        case,
        "at most 10% more requests sent",
        format!("{:.1}% more, the most of all cases", (sent - 1.0) * 100.0),
        sent <= 1.10,
    );
}

/// One slow target, and load endpoints that tell the opposite of the truth.
pub fn faults(report: &mut Report, seed: u64) {
    for fleet in [VITRINAS, GUILD] {
        for (name, fault, lies) in [
            ("no fault", Fault::None, false),
            ("one target 10 x slower", Fault::Slow, false),
            ("endpoints lie", Fault::None, true),
        ] {
            for policy in POLICIES {
                let mut setup = setup(&fleet, policy, seed);
                setup.load = 0.6;
                setup.fault = fault;
                setup.faulty = usize::from(fault != Fault::None);
                setup.lies = lies;
                let outcome = sim::run(setup);
                let case = format!("{} {name}", fleet.user);
                push(report, "faults", &case, policy, &outcome, Vec::new());
            }
        }
    }
}

fn setup(fleet: &Fleet, policy: Policy, seed: u64) -> Setup {
    Setup {
        fleet: fleet.clone(),
        policy,
        seed,
        service_micros: SERVICE_MICROS,
        load: 0.8,
        requests: REQUESTS,
        patience: PATIENCE_MICROS,
        faulty: 0,
        fault: Fault::None,
        lies: false,
    }
}

fn find(all: &[(Policy, Outcome)], policy: Policy) -> &Outcome {
    let found = all.iter().find(|(p, _)| *p == policy);
    &found.expect("the policy was run").1
}

fn push(
    report: &mut Report,
    experiment: &'static str,
    case: &str,
    policy: Policy,
    outcome: &Outcome,
    mut figures: Vec<Figure>,
) {
    let answered = outcome.good as f64 / outcome.counted.max(1) as f64;
    figures.extend([
        figure("mean", outcome.mean(), " ms"),
        figure("p99", outcome.quantile(0.99), " ms"),
        figure("good", answered, ""),
        figure("sent", outcome.sent_ratio(), ""),
        figure(
            "shed",
            outcome.shed as f64 / outcome.offered.max(1) as f64,
            "",
        ),
        figure("imbalance", outcome.imbalance, ""),
        figure("control", outcome.control_bytes / 1e3, " KB/s"),
    ]);
    report.rows.push(Row {
        experiment,
        case: case.to_owned(),
        policy: policy.label(),
        figures,
    });
}
