//! What an experiment gives: figures per policy, and verdicts on the stated targets.

use serde::Serialize;
use strum::Display;

/// One line of an experiment's table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The experiment.
    pub experiment: &'static str,
    /// The case: user, load, fault.
    pub case: String,
    /// The policy measured.
    pub policy: String,
    /// Named figures.
    pub figures: Vec<Figure>,
}

/// One figure with its unit.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What is measured.
    pub name: &'static str,
    /// The value.
    pub value: f64,
    /// The unit; empty for a ratio or a count.
    pub unit: &'static str,
}

/// Whether a stated target is met.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The case.
    pub case: &'static str,
    /// The stated target.
    pub target: &'static str,
    /// What was measured.
    pub measured: String,
    /// The result.
    pub result: Outcome,
}

/// The result of a stated target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Met.
    Pass,
    /// Not met.
    Miss,
}

/// Everything that a run gives.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The tables' lines.
    pub rows: Vec<Row>,
    /// The verdicts.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Adds a verdict.
    pub fn judge(&mut self, case: &'static str, target: &'static str, measured: String, met: bool) {
        let result = if met { Outcome::Pass } else { Outcome::Miss };
        self.verdicts.push(Verdict {
            case,
            target,
            measured,
            result,
        });
    }

    /// Prints the tables.
    pub fn print(&self) {
        let mut last = "";
        for row in &self.rows {
            if row.experiment != last {
                println!("\n{}", row.experiment);
                last = row.experiment;
            }
            print!("  {:<34} {:<22}", row.case, row.policy);
            for figure in &row.figures {
                print!(" {} {:.3}{}", figure.name, figure.value, figure.unit);
            }
            println!();
        }
        println!("\nstated targets");
        for verdict in &self.verdicts {
            let Verdict {
                case,
                target,
                measured,
                result,
            } = verdict;
            println!(
                "  {:<8} {case}: {target}\n           {measured}",
                result.to_string()
            );
        }
    }
}

/// Makes a figure.
pub fn figure(name: &'static str, value: f64, unit: &'static str) -> Figure {
    Figure { name, value, unit }
}
