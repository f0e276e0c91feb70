//! Bytes on the wire, and processor time, per message.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::Url;

use crate::report::Row;
use gooseberryloft::ids::BootId;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::Term;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::Version;
use gooseberryloft::link;
use gooseberryloft::link::Message;
use gooseberryloft::owner::assignment::AssignmentDelta;
use gooseberryloft::owner::assignment::Owner;
use gooseberryloft::owner::message::Ask;
use gooseberryloft::owner::message::PeerMessage;
use gooseberryloft::owner::message::Vouch;
use gooseberryloft::owner::order::Order;
use gooseberryloft::owner::order::OrderReply;
use gooseberryloft::owner::order::Stamp;
use gooseberryloft::state_sync::Summary;
use gooseberryloft::view::ViewChange;

const ROUNDS: u32 = 20_000;
const TOKEN: &str = "capacity-token";

/// Measured sizes and times.
#[derive(Clone, Copy, Debug)]
pub struct Wire {
    /// A summary.
    pub summary: f64,
    /// A question and its vouch.
    pub vouch: f64,
    /// An empty delta.
    pub delta: f64,
    /// Each shard of a delta.
    pub delta_shard: f64,
    /// An order that only extends, and its reply, with their HTTP heads.
    pub heartbeat: f64,
    /// Encoding and decoding a summary, in microseconds.
    pub codec_us: f64,
    /// Sending and receiving one message over a link on loopback, in microseconds.
    pub message_us: f64,
}

/// Measures all of it.
pub fn measure() -> Result<Wire> {
    let size = |message: &Message| link::encode(message).len() as f64;
    let empty = size(&delta(0));
    let summary = Message::Summary(Summary {
        number: TicketNumber(8_200),
        versions: u64::MAX,
        age_ms: Some(900),
    });
    Ok(Wire {
        summary: size(&summary),
        vouch: size(&owner(PeerMessage::Ask(ask()))) + size(&owner(PeerMessage::Vouch(vouch()))),
        delta: empty,
        delta_shard: (size(&delta(64)) - empty) / 64.0,
        heartbeat: task::block_on(heartbeat_bytes())?,
        codec_us: codec(&summary),
        message_us: task::block_on(message_time(&summary))?,
    })
}

/// Returns the report's lines.
pub fn rows(wire: &Wire) -> Vec<Row> {
    vec![
        Row::new("summary of a view", wire.summary, "B"),
        Row::new("question and vouch between two members", wire.vouch, "B"),
        Row::new("delta of a group, without shards", wire.delta, "B"),
        Row::new("delta of a group, per shard", wire.delta_shard, "B"),
        Row::new(
            "heartbeat of a target, both ways, with HTTP heads",
            wire.heartbeat,
            "B",
        ),
        Row::new("encoding and decoding a message", wire.codec_us, "µs"),
        Row::new(
            "a message over a link on loopback, both ends",
            wire.message_us,
            "µs",
        ),
    ]
}

fn group() -> GroupId {
    GroupId {
        service: "status".into(),
        index: 249,
    }
}

fn owner(message: PeerMessage) -> Message {
    Message::Owner {
        group: group(),
        message,
    }
}

fn ask() -> Ask {
    Ask {
        seq: 1_000_000,
        term: Term(1_000),
        membership: None,
        barred: Vec::new(),
        revision: 1_000_000,
        cut: false,
    }
}

fn vouch() -> Vouch {
    Vouch {
        seq: 1_000_000,
        term: Term(1_000),
        barred: Vec::new(),
        bounds: Vec::new(),
        vouched: Vec::new(),
        table_ms: 9_000,
        holder_ms: 80,
    }
}

fn delta(shards: u32) -> Message {
    let owner = |i: u32| {
        let target = Some(format!("target-{i:05}").into());
        (
            Shard(65_000 + i),
            Owner {
                target,
                fence: Fence(1_000_000),
            },
        )
    };
    Message::Changes(vec![ViewChange::Delta(AssignmentDelta {
        group: group(),
        base: Version(1 << 40),
        version: Version((1 << 40) + 1),
        owners: (0..shards).map(owner).collect(),
        gone: Vec::new(),
        hot_keys: BTreeMap::new(),
    })])
}

async fn heartbeat_bytes() -> Result<f64> {
    let order = Order {
        group: group(),
        term: Term(1_000),
        boot: BootId(u64::MAX),
        stamp: Some(Stamp(86_400_000_000)),
        grant: Vec::new(),
        release: Vec::new(),
        lease_ms: 500,
    };
    let reply = OrderReply {
        boot: BootId(u64::MAX),
        stamp: Stamp(86_400_000_000),
        refused: None,
        released: Vec::new(),
        granted: Vec::new(),
        denied: Vec::new(),
        term: Some(Term(1_000)),
        held: 16,
        digest: u64::MAX,
    };
    let mut request = Request::new(Method::Post, Url::parse("http://10.1.12.250:8080/grants")?);
    request.set_body(serde_json::to_vec(&order)?);
    let mut sent = Vec::new();
    async_h1::client::Encoder::new(request)
        .read_to_end(&mut sent)
        .await?;
    let mut response = http_types::Response::new(200);
    response.set_body(serde_json::to_vec(&reply)?);
    let mut answered = Vec::new();
    async_h1::server::Encoder::new(response, Method::Post)
        .read_to_end(&mut answered)
        .await?;
    Ok((sent.len() + answered.len()) as f64)
}

fn codec(message: &Message) -> f64 {
    let from = Instant::now();
    for _ in 0..ROUNDS {
        let bytes = link::encode(black_box(message));
        black_box(link::decode(&bytes).ok());
    }
    micros(from.elapsed(), ROUNDS)
}

async fn message_time(message: &Message) -> Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let echo = task::spawn(async move {
        let (stream, _) = listener.accept().await?;
        let mut link = link::accept(stream, TOKEN).await?;
        for _ in 0..ROUNDS {
            let message = link.recv().await?;
            link.send(&message).await?;
        }
        anyhow::Ok(())
    });
    let mut link = link::connect(address, TOKEN).await?;
    let from = Instant::now();
    for _ in 0..ROUNDS {
        link.send(message).await?;
        link.recv().await?;
    }
    let took = from.elapsed();
    echo.await?;
    Ok(micros(took, 2 * ROUNDS))
}

fn micros(took: Duration, rounds: u32) -> f64 {
    took.as_secs_f64() * 1e6 / f64::from(rounds)
}
