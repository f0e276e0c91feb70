//! Calls to the platform and to targets, each in a task of its own that reports back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use http_types::Method;

use crate::control::event::Event;
use crate::control::state::StateReader;
use crate::ids::GroupId;
use crate::ids::TargetId;
use crate::ids::TicketNumber;
use crate::member::VmDirectory;
use crate::metrics;
use crate::owner::group;
use crate::owner::order::Order;
use crate::owner::order::OrderReply;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::VmList;
use crate::platform::client::HttpClient;
use crate::state_sync;

const ORDER_LIMIT: Duration = Duration::from_millis(200);

/// Calls the platform and the targets for the control thread.
pub struct Outside<P> {
    platform: Arc<P>,
    events: Sender<Event>,
    reader: Arc<StateReader>,
    targets: HashMap<SocketAddr, Arc<HttpClient>>,
}

impl<P: Table + VmList + 'static> Outside<P> {
    /// Creates the caller.
    pub fn new(platform: Arc<P>, events: Sender<Event>) -> Self {
        Self {
            platform,
            events,
            reader: Arc::default(),
            targets: HashMap::new(),
        }
    }

    /// Reads the state in force.
    pub fn read_state(&self, held: TicketNumber, verify: bool) {
        let reader = self.reader.clone();
        self.spawn(async move |platform: Arc<P>| {
            let answer = reader.read(&*platform, held, verify).await;
            Some(Event::Spread(state_sync::Input::StateRead(answer)))
        });
    }

    /// Reads the list of VMs.
    pub fn read_vms(&self) {
        self.spawn(async move |platform: Arc<P>| {
            let list = platform.vms().await.ok()?;
            let table = Arc::new(VmDirectory::new(list));
            Some(Event::Spread(state_sync::Input::VmList(table)))
        });
    }

    /// Reads rows for a group.
    pub fn read_rows(&self, group: GroupId, id: u64, keys: Vec<String>) {
        self.spawn(async move |platform: Arc<P>| {
            let result = get_all(&*platform, &keys).await;
            let input = group::Input::RowsRead { id, result };
            Some(Event::Group { group, input })
        });
    }

    /// Applies a transaction for a group.
    pub fn commit(&self, group: GroupId, tx: Transaction) {
        self.spawn(async move |platform: Arc<P>| {
            let result = platform.commit(&tx).await;
            let id = tx.id;
            let input = group::Input::Committed { id, result };
            Some(Event::Group { group, input })
        });
    }

    /// Sends an order to a target.
    pub fn order(&mut self, group: GroupId, target: TargetId, address: SocketAddr, order: Order) {
        let client = self.targets.entry(address);
        let client = client.or_insert_with(|| Arc::new(HttpClient::new(address, ORDER_LIMIT)));
        let client = client.clone();
        self.spawn(async move |_| {
            let reply = send_order(&client, &order).await;
            count_order(&group, &order, reply.as_ref());
            let input = match reply {
                Some(reply) => group::Input::Reply { target, reply },
                None => group::Input::OrderFailed { target },
            };
            Some(Event::Group { group, input })
        });
    }

    /// Forgets the connections to targets that no service names any more.
    pub fn keep_targets(&mut self, named: impl Fn(&SocketAddr) -> bool) {
        self.targets.retain(|address, _| named(address));
    }

    fn spawn<F>(&self, work: impl FnOnce(Arc<P>) -> F)
    where
        F: Future<Output = Option<Event>> + Send + 'static,
    {
        let work = work(self.platform.clone());
        let events = self.events.clone();
        task::spawn(async move {
            if let Some(event) = work.await {
                let _ = events.send(event).await;
            }
        });
    }
}

async fn get_all(table: &impl Table, keys: &[String]) -> Result<Vec<Option<Row>>, TableError> {
    let reads = keys.iter().map(|key| table.get(key));
    futures::future::try_join_all(reads).await
}

fn count_order(group: &GroupId, order: &Order, reply: Option<&OrderReply>) {
    let outcome = match reply {
        None => "unanswered",
        Some(reply) if reply.refused.is_some() => "refused",
        Some(_) => "taken",
    };
    metrics::instruments().order(outcome);
    metrics::instruments().term(group, order.term);
}

async fn send_order(client: &HttpClient, order: &Order) -> Option<OrderReply> {
    let body = serde_json::to_vec(order).ok()?;
    let reply = client.call(Method::Post, "/grants", &body).await.ok()?;
    match reply.is_success() {
        true => serde_json::from_slice(&reply.body).ok(),
        false => None,
    }
}
