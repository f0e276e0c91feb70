//! State that all roles of a group's state machine share, and operations on it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::ids::VmId;
use crate::owner::authority::OrderAuthority;
use crate::owner::group::Action;
use crate::owner::group::FIRST_TERM;
use crate::owner::group::GroupConf;
use crate::owner::group::Peer;
use crate::owner::group::elect;
use crate::owner::group::fleet::Fleet;
use crate::owner::group::store::Rows;
use crate::owner::group::store::Store;
use crate::owner::loads::Samples;
use crate::owner::message::Ask;
use crate::owner::message::Member;
use crate::owner::message::Membership;
use crate::owner::message::PeerMessage;
use crate::owner::message::TargetBoot;
use crate::owner::message::Vouched;
use crate::owner::rows::GroupRow;
use crate::owner::rows::ShardsRow;
use crate::ticket::Service;
use crate::ticket::Target;
use crate::ticket::TargetState;

/// How long a lost or leaving member is not chosen again.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(30);
/// Vouches older than this are not reported; they have expired on every clock.
const VOUCH_RETENTION: Duration = Duration::from_secs(10);
/// Clocks drift by at most one part in this many.
const CLOCK_DRIFT: u32 = 50;
/// Number of vouch requests whose sending time is kept.
const MAX_SENT_ASKS: usize = 16;

/// The purpose of the write in progress.
#[derive(Clone, Debug)]
pub(super) enum Pending {
    /// Makes this process the holder of a new term.
    NewTerm,
    /// Places these shards.
    Placement(Vec<Shard>),
    /// Renews the authority to send orders, or removes earlier terms that ended.
    Renewal,
}

/// The sending times of recent vouch requests, by sequence number.
#[derive(Debug, Default)]
pub(super) struct SentAsks {
    seq: u64,
    open: VecDeque<(u64, Instant)>,
}

/// State that all roles share.
#[derive(Debug)]
pub(super) struct SharedState {
    pub conf: GroupConf,
    pub rng: ChaCha8Rng,
    pub service: Option<Service>,
    /// The hashed shards of the group.
    pub hashed_shards: Vec<Shard>,
    pub peers: Vec<Peer>,
    /// Recent load samples of the entries.
    pub samples: Samples,
    pub store: Store,
    pub fleet: Fleet,
    /// The members of the newest known term.
    pub membership: Option<Membership>,
    pub asks: SentAsks,
    pub read_due: Instant,
    pub pending: Option<Pending>,
    /// When this process last vouched to each member, under any term.
    pub vouched: BTreeMap<VmId, Instant>,
    /// Writes that the previous holder started after this time have no effect.
    pub write_bound: Option<Instant>,
    /// Members that were unreachable or are leaving, and until when they are not chosen again.
    pub excluded: BTreeMap<Member, Instant>,
    /// Whether this process is about to stop.
    pub leaving: bool,
}

impl SentAsks {
    /// Adds a request sent at `now` and returns its sequence number.
    fn add(&mut self, now: Instant) -> u64 {
        self.seq += 1;
        self.open.push_back((self.seq, now));
        if self.open.len() > MAX_SENT_ASKS {
            self.open.pop_front();
        }
        self.seq
    }

    /// Returns when a request was sent, if it is among the newest.
    pub fn sent_at(&self, seq: u64) -> Option<Instant> {
        let known = self.open.iter().find(|(known, _)| *known == seq);
        known.map(|(_, asked)| *asked)
    }
}

impl SharedState {
    pub fn new(now: Instant, conf: GroupConf, seed: u64) -> Self {
        Self {
            store: Store::new(&conf.group),
            conf,
            rng: ChaCha8Rng::seed_from_u64(seed),
            service: None,
            hashed_shards: Vec::new(),
            peers: Vec::new(),
            samples: Samples::default(),
            fleet: Fleet::default(),
            membership: None,
            asks: SentAsks::default(),
            read_due: now,
            pending: None,
            vouched: BTreeMap::new(),
            write_bound: None,
            excluded: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Returns this process as a member.
    pub fn me(&self) -> Member {
        Member {
            vm: self.conf.me.clone(),
            boot: self.conf.boot,
            data_centre: self.conf.data_centre.clone(),
        }
    }

    /// Returns the newest known term; 0 if none is known.
    pub fn term(&self) -> Term {
        self.membership
            .as_ref()
            .map_or(Term(0), |membership| membership.term)
    }

    /// Returns the members of the newest term other than this process.
    pub fn others(&self) -> Vec<Member> {
        let me = self.me();
        let members = self
            .membership
            .iter()
            .flat_map(|membership| &membership.members);
        members.filter(|m| **m != me).cloned().collect()
    }

    pub fn set_service(&mut self, now: Instant, service: Option<Service>) {
        self.service = service;
        self.hashed_shards = self.list_hashed_shards();
        for (target, address) in self
            .targets()
            .map(|(id, t)| (id.clone(), t.address))
            .collect::<Vec<_>>()
        {
            self.fleet.set_address(now, &target, address);
        }
    }

    /// Returns the group's targets in the ticket in force.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        let index = self.conf.group.index;
        let targets = self.service.iter().flat_map(|service| &service.targets);
        targets.filter(move |(_, target)| target.group == index)
    }

    /// Returns the group's targets that may own shards by the ticket in force.
    pub fn serving(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.targets()
            .filter(|(_, target)| target.state == TargetState::Serving)
    }

    /// Returns the hashed shard that contains a key.
    pub fn shard_of(&self, key_hash: u64) -> Option<Shard> {
        let keying = self.service.as_ref()?.keying.as_ref()?;
        Some(keying.shard_of(key_hash))
    }

    /// Returns the row of shard owners as last read or written.
    pub fn shards(&self) -> Option<&ShardsRow> {
        self.store.rows()?.shards.as_ref()
    }

    pub fn send(&self, to: &VmId, message: PeerMessage, out: &mut Vec<Action>) {
        let to = to.clone();
        out.push(Action::Send { to, message });
    }

    /// Sends vouch requests to the other members.
    pub fn send_asks(
        &mut self,
        now: Instant,
        authority: &OrderAuthority,
        barred: &[TargetBoot],
        out: &mut Vec<Action>,
    ) {
        let others = self.others();
        let Some(membership) = self.membership.clone().filter(|_| !others.is_empty()) else {
            return;
        };
        let seq = self.asks.add(now);
        for member in others {
            let informed = authority.last_vouch(&member.vm).is_some();
            let ask = Ask {
                seq,
                term: membership.term,
                membership: (!informed).then(|| membership.clone()),
                barred: barred.to_vec(),
                revision: self.store.revision(),
                cut: self.store.failed(),
            };
            self.send(&member.vm, PeerMessage::Ask(ask), out);
        }
    }

    /// Returns the members that this process recently vouched for, in the form of a message.
    pub fn vouched(&self, now: Instant) -> Vec<Vouched> {
        let vouched = self.vouched.iter();
        let vouched = vouched.map(|(vm, at)| (vm, now.saturating_duration_since(*at)));
        let vouched = vouched.filter(|(_, age)| *age < VOUCH_RETENTION);
        let vouched = vouched.map(|(vm, age)| Vouched {
            vm: vm.clone(),
            age_us: (age - age / CLOCK_DRIFT).as_micros() as u64,
        });
        vouched.collect()
    }

    /// Excludes a member from new terms for [`EXCLUSION_PERIOD`].
    pub fn exclude(&mut self, now: Instant, member: Member) {
        self.excluded.retain(|_, until| now < *until);
        self.excluded.insert(member, now + EXCLUSION_PERIOD);
    }

    fn list_hashed_shards(&self) -> Vec<Shard> {
        let service = self.service.as_ref();
        let Some(keying) = service.and_then(|service| service.keying.as_ref()) else {
            return Vec::new();
        };
        let index = self.conf.group.index;
        let all = (0..keying.shards).map(Shard);
        all.filter(|shard| keying.group_of(*shard) == index)
            .collect()
    }

    /// Starts a read of the rows if one is due.
    pub fn read_if_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.read_due && !self.store.reading() {
            out.extend(self.store.read(now));
        }
    }

    /// Starts a write that makes this process the holder of a new term. The deputies in `kept` are
    /// preferred unless another VM adds a data centre. `write_bound` is the time after which the
    /// previous holder started no write that has effect, if known.
    pub fn write_new_term(
        &mut self,
        now: Instant,
        kept: &[Member],
        write_bound: Option<Instant>,
        out: &mut Vec<Action>,
    ) {
        if self.store.writing() {
            return;
        }
        self.write_bound = write_bound;
        let Some(rows) = self.store.rows().cloned() else {
            return;
        };
        let members = elect::members(self, now, kept);
        let required_vouches = self.conf.policy.required_vouches(members.len());
        let row = match rows.group {
            None => GroupRow {
                membership: Membership {
                    term: FIRST_TERM,
                    members,
                    required_vouches,
                },
                prior: Vec::new(),
            },
            Some(row) => next_term_row(row, members, required_vouches),
        };
        let shards = rows.shards.is_none().then(ShardsRow::default);
        self.commit(now, Pending::NewTerm, Some(row), shards, out);
    }

    /// Starts a write unless one is in progress.
    pub fn commit(
        &mut self,
        now: Instant,
        pending: Pending,
        group: Option<GroupRow>,
        shards: Option<ShardsRow>,
        out: &mut Vec<Action>,
    ) {
        if let Some(action) = self.store.commit(now, &mut self.rng, group, shards) {
            self.pending = Some(pending);
            out.push(action);
        }
    }

    /// Returns both rows if they are known and exist.
    pub fn rows(&self) -> Option<(&GroupRow, &ShardsRow)> {
        let Rows { group, shards, .. } = self.store.rows()?;
        Some((group.as_ref()?, shards.as_ref()?))
    }

    /// Returns true if the term has other members, so that one of them can take over.
    pub fn has_other_members(&self) -> bool {
        !self.others().is_empty()
    }

    /// Returns a random duration between 75% and 125% of the period.
    pub fn jitter(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

fn next_term_row(row: GroupRow, members: Vec<Member>, required_vouches: usize) -> GroupRow {
    let term = row.membership.term.next();
    let mut prior = row.prior;
    prior.push(row.membership);
    GroupRow {
        membership: Membership {
            term,
            members,
            required_vouches,
        },
        prior,
    }
}
