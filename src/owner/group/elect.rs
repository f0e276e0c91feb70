//! Selection of the VMs that control a group: by hash rank, in different data centres if possible.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::member::score;
use crate::owner::group::shared::SharedState;
use crate::owner::message::Member;

/// Deputies of a term, if enough VMs run.
const MAX_DEPUTIES: usize = 2;

/// Returns the rank of this VM among the running VMs, from 0; `None` if it is about to stop.
pub(super) fn rank(shared: &SharedState) -> Option<usize> {
    if shared.leaving {
        return None;
    }
    ranked(shared).iter().position(|m| m.vm == shared.conf.me)
}

/// Returns the members of a new term with this process as its holder.
///
/// Excluded members are left out. Members in `kept` are preferred unless another one adds a
/// data centre.
pub(super) fn members(shared: &SharedState, now: Instant, kept: &[Member]) -> Vec<Member> {
    let mut members = vec![shared.me()];
    let mut pool = ranked(shared);
    pool.retain(|m| !kept.contains(m));
    pool.splice(0..0, kept.iter().cloned());
    pool.retain(|m| {
        m.vm != shared.conf.me && shared.excluded.get(m).is_none_or(|until| now >= *until)
    });
    for _ in 0..MAX_DEPUTIES {
        let taken = |m: &Member| members.iter().any(|t| t.data_centre == m.data_centre);
        let apart = pool.iter().position(|m| !taken(m));
        let Some(next) = apart.or((!pool.is_empty()).then_some(0)) else {
            break;
        };
        members.push(pool.remove(next));
    }
    members
}

/// Ranks the VMs in the same order as [`candidates`](crate::member::candidates), which decides
/// which VMs run the group: the data centres alternate as evenly as possible.
fn ranked(shared: &SharedState) -> Vec<Member> {
    let purpose = shared.conf.group.to_string();
    let peers = shared.peers.iter().filter(|peer| !peer.leaving);
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
