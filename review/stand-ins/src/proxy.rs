//! A proxy in front of one address, whose open connections can go silent for good.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

pub struct Proxy {
    pub address: SocketAddr,
    opened: Arc<AtomicU64>,
    /// Connections up to this number are silent: what they receive is dropped, and nothing, not
    /// even their end, is passed on.
    silent_up_to: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            opened: Arc::default(),
            silent_up_to: Arc::default(),
        };
        let opened = Arc::clone(&proxy.opened);
        let silent_up_to = Arc::clone(&proxy.silent_up_to);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let silent_up_to = Arc::clone(&silent_up_to);
                    std::thread::spawn(move || pump(from, to, number, &silent_up_to));
                }
            }
        });
        proxy
    }

    /// Makes all connections that are open now silent for good. Later ones work. Returns how many
    /// were opened so far.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_up_to.store(opened, Ordering::SeqCst);
        opened
    }

    /// Returns how many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, silent_up_to: &AtomicU64) {
    let mut buffer = [0; 16_384];
    let mut was_silent = false;
    while let Ok(read) = from.read(&mut buffer) {
        was_silent |= number <= silent_up_to.load(Ordering::SeqCst);
        match (read, was_silent) {
            (0, true) => {
                // Keeps the other side open: it is not told of the end.
                std::mem::forget(to);
                return;
            }
            (0, false) => break,
            (_, true) => {}
            (read, false) => {
                if to.write_all(&buffer[..read]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
