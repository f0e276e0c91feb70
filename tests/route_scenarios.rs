//! Runs the scripted routing scenarios in `tests/scenarios/route`.

#[path = "support/route_fixtures.rs"]
mod fixtures;

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use goldenscript::Command;
use goldenscript::Runner;

use crate::fixtures::set_owner;
use crate::fixtures::*;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::route::Attempt;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::Call;
use gooseberryloft::route::NextAction;
use gooseberryloft::route::Refusal;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::Step;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;

type Outcome = Result<String, Box<dyn Error>>;

struct Script {
    view: View,
    routers: Vec<Router>,
    now: Instant,
    calls: BTreeMap<String, Running>,
}

struct Running {
    router: usize,
    call: Call,
    attempt: Option<Attempt>,
}

impl Script {
    fn new() -> Self {
        Self {
            view: view(1, 1),
            routers: Vec::new(),
            now: Instant::now(),
            calls: BTreeMap::new(),
        }
    }

    fn reset(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let targets = args.lookup_parse("targets")?.unwrap_or(3);
        let slots = args.lookup_parse("slots")?.unwrap_or(2);
        let entries = args.lookup_parse("entries")?.unwrap_or(1);
        args.reject_rest()?;
        self.calls.clear();
        self.view = view(targets, slots);
        let router = |rank| router_with_rank(self.view.clone(), rank, entries);
        self.routers = (0..entries).map(router).collect();
        Ok(String::new())
    }

    fn call(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let shard: Option<u64> = args.lookup_parse("shard")?;
        let like = args.lookup_parse("like")?.unwrap_or(0);
        let entry: usize = args.lookup_parse("entry")?.unwrap_or(0);
        let name = args.next_pos().ok_or("name the call")?.value.clone();
        let idempotent = args.next_pos().map(|arg| arg.value.as_str()) != Some("booking");
        args.reject_rest()?;
        let info = match shard {
            Some(shard) => keyed_request(self.now, shard),
            None => request(self.now, like),
        };
        let call = Call::new(RequestInfo { idempotent, ..info });
        let router = entry;
        let attempt = None;
        self.calls.insert(
            name.clone(),
            Running {
                router,
                call,
                attempt,
            },
        );
        self.step(&name)
    }

    fn step(&mut self, name: &str) -> Outcome {
        let running = self.calls.get_mut(name).ok_or("no such call")?;
        let router = &self.routers[running.router];
        let step = running.call.step(router, self.now, Waker::noop());
        Ok(match step {
            Step::Send(attempt) => {
                let mut text = format!("send {}", attempt.target);
                if let Some(at) = attempt.shard {
                    text += &format!(" shard {} fence {}", at.shard, at.fence);
                }
                running.attempt = Some(attempt);
                text
            }
            Step::Wait(_) => "wait".to_owned(),
            Step::Refuse(refusal) => format_refusal(refusal),
        })
    }

    fn finish(&mut self, name: &str, outcome: &str) -> Outcome {
        let running = self.calls.get_mut(name).ok_or("no such call")?;
        let attempt = running.attempt.take().ok_or("the call is not sent")?;
        let router = &self.routers[running.router];
        let outcome = attempt_outcome(outcome)?;
        match running
            .call
            .finish_attempt(router, self.now, attempt, outcome)
        {
            NextAction::Deliver => Ok("deliver".to_owned()),
            NextAction::Retry => Ok(format!("again: {}", self.step(name)?)),
            NextAction::Refuse(refusal) => Ok(format_refusal(refusal)),
        }
    }

    fn publish(&self) {
        let view = Arc::new(self.view.clone());
        for router in &self.routers {
            router.update(view.clone());
        }
    }

    fn gossip(&self) {
        for (from, sender) in self.routers.iter().enumerate() {
            let (loads, crashes) = (sender.load_report(), sender.crash_report(self.now));
            let receivers = self.routers.iter().enumerate();
            for (_, receiver) in receivers.filter(|(to, _)| *to != from) {
                receiver.apply_load_report(&loads, self.now);
                receiver.merge_crash_report(&crashes, self.now);
            }
        }
    }

    fn set_state(&mut self, target: &str, state: TargetState) -> Outcome {
        let service = self.view.state.services.get_mut(&ServiceId::from(REPORTS));
        let targets = &mut service.ok_or("no service")?.targets;
        targets.get_mut(&target.into()).ok_or("no target")?.state = state;
        self.publish();
        Ok(String::new())
    }
}

impl Runner for Script {
    fn run(&mut self, command: &Command) -> Outcome {
        match command.name.as_str() {
            "world" => return self.reset(command),
            "call" => return self.call(command),
            _ => {}
        }
        let mut args = command.consume_args();
        let fence: u64 = args.lookup_parse("fence")?.unwrap_or(1);
        let words: Vec<String> = args.rest_pos().iter().map(|a| a.value.clone()).collect();
        args.reject_rest()?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match (command.name.as_str(), words.as_slice()) {
            ("step", [name]) => return self.step(name),
            ("end", [name, outcome]) => return self.finish(name, outcome),
            ("drop", [name]) => drop(self.calls.remove(*name)),
            ("advance", [ms]) => self.now += Duration::from_millis(ms.parse()?),
            ("leave", [target]) => return self.set_state(target, TargetState::Leaving),
            ("gossip", []) => self.gossip(),
            ("own", [shard, owner]) => {
                let owner = owner.strip_prefix('t').map(str::parse).transpose()?;
                set_owner(&mut self.view, shard.parse()?, owner, fence);
                self.publish();
            }
            ("waiting", []) => return Ok(self.routers[0].waiting().to_string()),
            _ => return Err(format!("unknown command {}", command.name).into()),
        }
        Ok(String::new())
    }
}

fn format_refusal(refusal: Refusal) -> String {
    format!("{} {refusal}: {}", refusal.status(), refusal.outcome())
}

fn attempt_outcome(outcome: &str) -> Result<AttemptOutcome, Box<dyn Error>> {
    Ok(match outcome {
        "answered" => AttemptOutcome::Responded { status: 200 },
        "not-sent" => AttemptOutcome::NotSent,
        "not-run" => AttemptOutcome::NotRun,
        "broken" => AttemptOutcome::Broken,
        "silent" => AttemptOutcome::TimedOut,
        "cancelled" => AttemptOutcome::Cancelled,
        _ => return Err(format!("unknown outcome {outcome}").into()),
    })
}

#[test]
fn scenarios() {
    let dir = std::path::Path::new("tests/scenarios/route");
    for entry in std::fs::read_dir(dir).expect("the scenarios") {
        let path = entry.expect("an entry").path();
        goldenscript::run(&mut Script::new(), &path).unwrap_or_else(|e| panic!("{path:?}: {e}"));
    }
}
