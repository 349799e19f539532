//! A node that other relays reach, whose connections can go silent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::process::relay::ConfirmationReport;
use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::LoadNotice;
use balsamfold::process::relay::ResponseHead;
use balsamfold::process::relay::encode_frame;
use balsamfold::values::ConfigVersion;
use bytes::Bytes;
use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

#[derive(Debug, Default)]
struct PeerState {
    service_time: Duration,
    pong_delay: Duration,
    connections: usize,
    open_connections: usize,
    requests: Vec<String>,
    /// Numbers of the connections on which requests arrived.
    used: BTreeSet<usize>,
}

/// A node that answers requests by itself with status 200, and pings.
///
/// Connections that went silent stay open; nothing is read from them or written to them any more.
#[derive(Debug)]
pub struct PeerStandIn {
    /// Where other nodes reach it.
    pub address: SocketAddr,
    state: Arc<Mutex<PeerState>>,
    /// Number of the last event of silence. Connections that were open before it are silent.
    silences: watch::Sender<u64>,
}

impl PeerStandIn {
    /// Starts to accept connections.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::<Mutex<PeerState>>::default();
        let silences = watch::Sender::new(0);
        tokio::spawn(accept(listener, Arc::clone(&state), silences.clone()));
        Self {
            address,
            state,
            silences,
        }
    }

    /// Makes all connections that are open now silent.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    /// Sets the time for which a request runs.
    pub fn set_service_time(&self, service_time: Duration) {
        self.state.lock().service_time = service_time;
    }

    /// Sets the time after which pings are answered, as by a node that is short of CPU time.
    pub fn set_pong_delay(&self, pong_delay: Duration) {
        self.state.lock().pong_delay = pong_delay;
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.state.lock().open_connections
    }

    /// Returns how many connections were accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.state.lock().connections
    }

    /// Returns on how many connections requests arrived.
    pub fn connections_with_requests(&self) -> usize {
        self.state.lock().used.len()
    }

    /// Returns the ids of the requests that arrived.
    pub fn received(&self) -> Vec<String> {
        self.state.lock().requests.clone()
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<PeerState>>, silences: watch::Sender<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (state, silences) = (Arc::clone(&state), silences.subscribe());
        tokio::spawn(async move {
            let number = {
                let mut state = state.lock();
                state.connections += 1;
                state.open_connections += 1;
                state.connections
            };
            serve(stream, number, Arc::clone(&state), silences).await;
            state.lock().open_connections -= 1;
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    number: usize,
    state: Arc<Mutex<PeerState>>,
    mut silences: watch::Receiver<u64>,
) {
    let (replies, mut queued) = mpsc::unbounded_channel::<Bytes>();
    let mut received = BytesMut::new();
    let silence = async move { silences.changed().await };
    tokio::pin!(silence);
    loop {
        tokio::select! {
            // Held open until the test ends.
            _ = &mut silence => return std::future::pending().await,
            read = stream.read_buf(&mut received) => match read {
                Ok(1..) => answer_frames(&mut received, number, &state, &replies),
                Ok(0) | Err(_) => return,
            },
            Some(reply) = queued.recv() => {
                if stream.write_all(&reply).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn answer_frames(
    received: &mut BytesMut,
    number: usize,
    state: &Arc<Mutex<PeerState>>,
    replies: &mpsc::UnboundedSender<Bytes>,
) {
    while let Some(frame) = Frame::split_from(received).expect("frames are valid") {
        match frame.head().expect("heads are valid") {
            Head::Ping { exchange } => {
                let confirmation = unconfirmed();
                let pong = Head::Pong {
                    exchange,
                    confirmation,
                    loads: Vec::new(),
                };
                let pong = encode_frame(&pong, &[]).expect("a short frame");
                let (replies, pong_delay) = (replies.clone(), state.lock().pong_delay);
                tokio::spawn(async move {
                    tokio::time::sleep(pong_delay).await;
                    // Sending fails if the connection has ended.
                    let _ = replies.send(pong);
                });
            }
            Head::Request(request) => {
                let mut state = state.lock();
                state.requests.push(request.metadata.request_id.clone());
                state.used.insert(number);
                tokio::spawn(respond(
                    request.exchange,
                    state.service_time,
                    replies.clone(),
                ));
            }
            _ => {}
        }
    }
}

async fn respond(
    exchange: ExchangeId,
    service_time: Duration,
    replies: mpsc::UnboundedSender<Bytes>,
) {
    tokio::time::sleep(service_time).await;
    let response = Head::Response(ResponseHead {
        exchange,
        status: 200,
        headers: Vec::new(),
        confirmation: unconfirmed(),
        load: LoadNotice::default(),
        loads: Vec::new(),
        calls: Default::default(),
    });
    // Sending fails if the connection has ended.
    let _ = replies.send(encode_frame(&response, b"done").expect("a short frame"));
}

/// Returns the report of a node that has no configuration.
pub fn unconfirmed() -> ConfirmationReport {
    ConfirmationReport {
        version: ConfigVersion::default(),
        age_us: None,
    }
}
