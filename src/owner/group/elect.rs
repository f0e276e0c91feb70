//! Which VMs control a group: ranked by hash, in different data centres where possible.

use crate::ids::GroupId;
use crate::ids::VmId;
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
/// The VMs `without` are not named; those of `kept` are where nothing better is to be had.
pub(super) fn members(base: &Base, without: &[Member], kept: &[Member]) -> Vec<Member> {
    let mut members = vec![base.me()];
    let mut pool = ranked(base);
    pool.retain(|m| !kept.contains(m));
    pool.splice(0..0, kept.iter().cloned());
    pool.retain(|m| m.vm != base.conf.me && !without.contains(m));
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

fn ranked(base: &Base) -> Vec<Member> {
    let peers = base.peers.iter().filter(|peer| !peer.leaving);
    let mut members: Vec<Member> = peers.map(|peer| peer.member.clone()).collect();
    members.sort_by_cached_key(|m| std::cmp::Reverse(weight(&base.conf.group, &m.vm)));
    members
}

/// Rendezvous hashing: each group ranks the VMs in an order of its own.
fn weight(group: &GroupId, vm: &VmId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{group} {vm}").as_bytes())
}
