//! Invariants that the simulation checks at every step, and measurements for its tests.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use super::Simulation;
use gooseberryloft::ids::BootId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::owner::group::Group;
use gooseberryloft::owner::order::ShardFence;
use gooseberryloft::owner::rows;
use gooseberryloft::owner::rows::GroupRow;
use gooseberryloft::owner::rows::ShardsRow;
use gooseberryloft::view::ViewChange;

impl Simulation {
    /// Returns the longest total time without service of one shard since the last reset.
    pub fn longest_outage(&self) -> Duration {
        self.unserved.values().max().copied().unwrap_or_default()
    }

    /// Returns the number of earlier terms that the table still lists as possibly in effect.
    pub fn count_prior_terms(&self) -> usize {
        let row = self.table.rows.get(&rows::group_key(&Self::group_id()));
        let row = row.and_then(|row| rows::decode::<GroupRow>(&row.key, &row.value).ok());
        row.map_or(0, |row| row.prior.len())
    }

    /// Returns the number of shards that were unserved since the last reset although their owner
    /// runs.
    pub fn count_unserved_with_live_owner(&self) -> usize {
        let row = self.shards_row().unwrap_or_default();
        let runs = |shard: &&Shard| {
            let owner = row.owner(**shard);
            owner.is_some_and(|at| {
                let process = self.targets[&at.target].last();
                process.is_some_and(|p| p.boot == at.boot && !p.dead && p.frozen.is_none())
            })
        };
        self.unserved.keys().filter(runs).count()
    }

    /// Describes the log and the state of all VMs, for the message of a failed test.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for (at, event, details) in &self.log {
            text += &format!("{at:?} {event:?} {details}\n");
        }
        for vm in &self.vms {
            let status = vm.group.as_ref().map(Group::status);
            text += &format!("{} {status:?}\n", vm.name);
        }
        text + &format!("worst {:?} row {:?}", self.unserved, self.shards_row())
    }

    pub fn shards_row(&self) -> Option<ShardsRow> {
        let row = self.table.rows.get(&rows::shards_key(&Self::group_id()))?;
        rows::decode(&row.key, &row.value).ok()
    }

    /// Checks that an assignment in the table is replaced only by one with a higher fence.
    pub fn check_table_assignments(&mut self) {
        let row = self.shards_row().unwrap_or_default();
        for (shard, owner) in &row.owners {
            let assigned = self.assignments.entry((*shard, owner.fence));
            let assigned = assigned.or_insert(owner.target.clone());
            assert_eq!(
                *assigned, owner.target,
                "shard {shard} changed under its fence"
            );
        }
        for (shard, before) in &self.last_row.owners {
            let kept = row.owners.get(shard).map(|owner| owner.fence);
            let hot = self.last_row.hot_keys.values().any(|hot| hot == shard);
            let survives =
                kept.is_some_and(|fence| fence >= before.fence) || (hot && kept.is_none());
            assert!(survives, "the assignment of shard {shard} did not survive");
        }
        self.last_row = row;
    }

    /// Checks that only owners are published that the table has held.
    pub fn check_published_owners(&self, change: &ViewChange) {
        let owners = match change {
            ViewChange::Group(group) => &group.owners,
            ViewChange::Delta(delta) => &delta.owners,
            _ => return,
        };
        for (shard, owner) in owners {
            let assigned = self.assignments.get(&(*shard, owner.fence));
            let known = owner.target.is_none() || assigned == owner.target.as_ref();
            assert!(
                known,
                "owner of shard {shard} was published before the table held it"
            );
        }
    }

    /// Checks that no shard is held by two processes, and no fence of a shard was ever used by two.
    pub fn check_single_holder(&mut self) {
        let group = Self::group_id();
        let mut held: BTreeMap<Shard, (TargetId, BootId)> = BTreeMap::new();
        for (target, processes) in &mut self.targets {
            for process in processes.iter_mut().filter(|process| !process.dead) {
                let me = (target.clone(), process.boot);
                for at in process.grants.held(self.now, &group) {
                    if let Some(other) = held.insert(at.shard, me.clone()) {
                        panic!(
                            "shard {} held by {other:?} and {me:?} at {:?}",
                            at.shard,
                            self.now - self.start
                        );
                    }
                    let owner = self
                        .fence_holders
                        .entry((at.shard, at.fence))
                        .or_insert(me.clone());
                    assert_eq!(
                        *owner, me,
                        "fence {} of shard {} repeats",
                        at.fence, at.shard
                    );
                }
            }
        }
    }

    /// Adds one sample period to the time without service of each shard that its published owner
    /// does not serve.
    pub fn measure_service(&mut self) {
        self.check_single_holder();
        let group = Self::group_id();
        let Some(assignment) = self.view.groups.get(&group) else {
            return;
        };
        let mut unserved = Vec::new();
        for (shard, owner) in &assignment.owners {
            let processes = owner
                .target
                .as_ref()
                .and_then(|target| self.targets.get_mut(target));
            let process = processes.and_then(|p| p.last_mut());
            let serves = process.is_some_and(|p| {
                let at = ShardFence {
                    shard: *shard,
                    fence: owner.fence,
                };
                !p.dead && p.frozen.is_none() && p.grants.check(self.now, &group, at).is_ok()
            });
            if !serves {
                unserved.push(*shard);
            }
        }
        for shard in unserved {
            *self.unserved.entry(shard).or_default() += self.config.sample_period;
        }
    }
}
