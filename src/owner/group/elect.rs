//! Which VMs control a group: ranked by hash, in different data centres where possible.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::member::score;
use crate::owner::group::base::Base;
use crate::owner::message::Member;

const DEPUTIES: usize = 2;

/// Returns the rank of this VM among those that run, from 0; `None` if it is about to stop.
pub(super) fn rank(base: &Base) -> Option<usize> {
    if base.leaving {
        return None;
    }
    ranked(base).iter().position(|m| m.vm == base.conf.me)
}

/// Returns the members of a new term with this process as its holder.
///
/// Shunned members are not named; those of `kept` are where nothing better is to be had.
pub(super) fn members(base: &Base, now: Instant, kept: &[Member]) -> Vec<Member> {
    let mut members = vec![base.me()];
    let mut pool = ranked(base);
    pool.retain(|m| !kept.contains(m));
    pool.splice(0..0, kept.iter().cloned());
    pool.retain(|m| m.vm != base.conf.me && base.shunned.get(m).is_none_or(|until| now >= *until));
    for _ in 0..DEPUTIES {
        let taken = |m: &Member| members.iter().any(|t| t.data_centre == m.data_centre);
        let apart = pool.iter().position(|m| !taken(m));
        let Some(next) = apart.or((!pool.is_empty()).then_some(0)) else {
            break;
        };
        members.push(pool.remove(next));
    }
    members
}

/// Ranks the VMs as [`candidates`](crate::member::candidates) does, so that those named run the
/// group: no data centre comes again before every other one came as often.
fn ranked(base: &Base) -> Vec<Member> {
    let purpose = base.conf.group.to_string();
    let peers = base.peers.iter().filter(|peer| !peer.leaving);
    let mut members: Vec<Member> = peers.map(|peer| peer.member.clone()).collect();
    members.sort_by_cached_key(|m| (score(&purpose, &m.vm), m.vm.clone()));
    let mut rounds: BTreeMap<DataCentre, usize> = BTreeMap::new();
    members.sort_by_cached_key(|m| {
        let round = rounds.entry(m.data_centre.clone()).or_default();
        *round += 1;
        *round
    });
    members
}
