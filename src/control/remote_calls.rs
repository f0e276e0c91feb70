//! Calls to the platform and to targets. Each runs in its own task, so that the control thread never
//! waits, and sends its result to the control thread as an event.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::task;
use http_types::Method;

use crate::control::event::Event;
use crate::control::state_reader::StateReader;
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

const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts calls to the platform and to targets for the control thread.
pub struct RemoteCalls<P> {
    platform: Arc<P>,
    events: Sender<Event>,
    state_reader: Arc<StateReader>,
    clients: HashMap<SocketAddr, Arc<HttpClient>>,
}

impl<P: Table + VmList + 'static> RemoteCalls<P> {
    /// Creates an instance that sends results to `events`.
    pub fn new(platform: Arc<P>, events: Sender<Event>) -> Self {
        Self {
            platform,
            events,
            state_reader: Arc::default(),
            clients: HashMap::new(),
        }
    }

    /// Reads the state in force, if it is newer than `held`; `verify` as in [`StateReader::read`].
    pub fn read_state(&self, held: TicketNumber, verify: bool) {
        let state_reader = self.state_reader.clone();
        self.spawn(async move |platform: Arc<P>| {
            let answer = state_reader.read(&*platform, held, verify).await;
            Some(Event::StateSync(state_sync::Input::StateRead(answer)))
        });
    }

    /// Reads the list of VMs.
    pub fn read_vm_list(&self) {
        self.spawn(async move |platform: Arc<P>| {
            let list = platform.vms().await.ok()?;
            let table = Arc::new(VmDirectory::new(list));
            Some(Event::StateSync(state_sync::Input::VmList(table)))
        });
    }

    /// Reads rows for a group.
    pub fn read_rows(&self, group: GroupId, id: u64, keys: Vec<String>) {
        self.spawn(async move |platform: Arc<P>| {
            let result = read_all(&*platform, &keys).await;
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
        let client = self.clients.entry(address);
        let client = client.or_insert_with(|| Arc::new(HttpClient::new(address, ORDER_TIMEOUT)));
        let client = client.clone();
        self.spawn(async move |_| {
            let reply = send_order(&client, &order).await;
            record_order_metrics(&group, &order, reply.as_ref());
            let input = match reply {
                Some(reply) => group::Input::Reply { target, reply },
                None => group::Input::OrderFailed { target },
            };
            Some(Event::Group { group, input })
        });
    }

    /// Drops the clients of all addresses for which `is_used` returns false.
    pub fn retain_clients(&mut self, is_used: impl Fn(&SocketAddr) -> bool) {
        self.clients.retain(|address, _| is_used(address));
    }

    fn spawn<F>(&self, call: impl FnOnce(Arc<P>) -> F)
    where
        F: Future<Output = Option<Event>> + Send + 'static,
    {
        let call = call(self.platform.clone());
        let events = self.events.clone();
        task::spawn(async move {
            if let Some(event) = call.await {
                let _ = events.send(event).await;
            }
        });
    }
}

async fn read_all(table: &impl Table, keys: &[String]) -> Result<Vec<Option<Row>>, TableError> {
    let reads = keys.iter().map(|key| table.get(key));
    futures::future::try_join_all(reads).await
}

fn record_order_metrics(group: &GroupId, order: &Order, reply: Option<&OrderReply>) {
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
