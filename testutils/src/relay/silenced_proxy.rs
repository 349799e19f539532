//! A TCP proxy whose open connections can go silent without a reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A TCP proxy to one address. Its kernel still acknowledges what arrives on a silent connection.
#[derive(Debug)]
pub struct SilencedProxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    opened: Arc<AtomicUsize>,
    silences: watch::Sender<usize>,
    accepting: JoinHandle<()>,
}

impl Drop for SilencedProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl SilencedProxy {
    /// Starts a proxy to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let opened = Arc::new(AtomicUsize::new(0));
        let silences = watch::Sender::new(0);
        let accepting = tokio::spawn(accept(
            listener,
            target,
            Arc::clone(&opened),
            silences.subscribe(),
        ));
        Self {
            address,
            opened,
            silences,
            accepting,
        }
    }

    /// Forwards nothing more on the open connections, and keeps them open. Later ones work.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Returns the number of connections that were opened so far.
    pub fn opened_connections(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    opened: Arc<AtomicUsize>,
    silences: watch::Receiver<usize>,
) {
    while let Ok((incoming, _)) = listener.accept().await {
        opened.fetch_add(1, Ordering::Relaxed);
        let mut silences = silences.clone();
        silences.mark_unchanged();
        tokio::spawn(forward(incoming, target, silences));
    }
}

async fn forward(
    mut incoming: TcpStream,
    target: SocketAddr,
    mut silences: watch::Receiver<usize>,
) {
    let Ok(mut outgoing) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut incoming, &mut outgoing) => {}
        changed = silences.changed() => if changed.is_ok() {
            // Keeps both sockets open until the test ends.
            std::future::pending::<()>().await;
        }
    }
}
