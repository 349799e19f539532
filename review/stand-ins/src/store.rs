//! The platform's store, as PROTOCOL.md describes it, in memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;

/// Header in which the store counts how often it has come back from a copy.
const ERA: &str = "Store-Era";

#[derive(Clone)]
struct Item {
    /// As base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// An earlier content of a store.
pub struct Copy(Content);

#[derive(Clone, Default)]
struct Content {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and key of each change; no item for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    next_lease: u64,
    leases: HashMap<u64, Lease>,
}

impl Content {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map(|item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        let change = (self.revision, key.to_owned(), Some(item));
        self.history.push(change);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

/// Addresses of nodes that a reader of the store reaches through a proxy, with the address of the
/// proxy. This is the test's wiring, in place of a network between the machines.
pub type Wiring = Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
    /// Whether the store closes connections without an answer.
    is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        let ticking = store.clone();
        store.shared.0.lock().unwrap().revision = 100;
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                if ticking.shared.0.lock().unwrap().expire() {
                    ticking.shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Opens an address for one machine, which reaches other nodes as `wiring` says.
    pub fn listen(&self, wiring: Wiring) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, wiring) = (store.clone(), Arc::clone(&wiring));
                std::thread::spawn(move || store.serve(stream, &wiring));
            }
        });
        address
    }

    /// Takes the store down, or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().clone())
    }

    /// Comes back from a copy. Revisions are given out again; leases are numbered on.
    pub fn go_back_to(&self, copy: &Copy) {
        let mut content = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let mut earlier = copy.0.clone();
        for lease in earlier.leases.values_mut() {
            lease.ends = now + lease.ttl;
        }
        *content = Content {
            era: content.era + 1,
            next_lease: content.next_lease,
            ..earlier
        };
        drop(content);
        self.shared.1.notify_all();
    }

    /// Writes an item as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut content = self.shared.0.lock().unwrap();
        content.revision += 1;
        content.set(key, base64::encode(value.as_bytes()), 0);
        drop(content);
        self.shared.1.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let content = self.shared.0.lock().unwrap();
        let value = base64::decode(&content.items.get(key)?.value)?;
        String::from_utf8(value).ok()
    }

    /// Returns the revision of an item's last change, or 0 if there is none.
    pub fn revision(&self, key: &str) -> u64 {
        let content = self.shared.0.lock().unwrap();
        content.items.get(key).map_or(0, |item| item.revision)
    }

    fn serve(&self, stream: TcpStream, wiring: &Wiring) {
        let mut connection = Connection::new(stream);
        while let Ok(call) = connection.read() {
            std::thread::sleep(Duration::from_millis(2));
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.answer(&call, wiring);
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let first = format!("HTTP/1.1 {status} X");
            let era = self.shared.0.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), (ERA, era.as_str())];
            if connection.write(&first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, wiring: &Wiring) -> (u16, String) {
        let path = call.path();
        match (call.method(), path) {
            ("GET", "/api/kv-key") => self.key(call.query("key").unwrap_or_default(), wiring),
            ("GET", "/api/kv-range") => self.range(call, wiring),
            ("GET", "/api/kv-watch") => self.watch(call, wiring),
            ("POST", "/api/kv-txn") => self.transaction(call),
            ("POST", "/api/kv-lease") => self.grant(call),
            ("POST", _) if path.starts_with("/api/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => self.end(path),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str, wiring: &Wiring) -> (u16, String) {
        let content = self.shared.0.lock().unwrap();
        match content.items.get(key) {
            None => (404, format!("{{\"current-rev\":{}}}", content.revision)),
            Some(item) => {
                let fields = fields(key, item, wiring);
                let body = format!("{{{fields},\"current-rev\":{}}}", content.revision);
                (200, body)
            }
        }
    }

    fn range(&self, call: &Message, wiring: &Wiring) -> (u16, String) {
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let content = self.shared.0.lock().unwrap();
        let items: Vec<String> = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| format!("{{{}}}", fields(key, item, wiring)))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":false,\"current-rev\":{}}}",
            items.join(","),
            content.revision
        );
        (200, body)
    }

    fn watch(&self, call: &Message, wiring: &Wiring) -> (u16, String) {
        let prefix = call.query("prefix").unwrap_or_default();
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut content = self.shared.0.lock().unwrap();
        let era = content.era;
        loop {
            if after > content.revision || content.era != era {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = content
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", fields(key, item, wiring)),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current-rev\":{}}}",
                    events.join(","),
                    content.revision
                );
                return (200, body);
            }
            content = self.shared.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transaction(&self, call: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let Some(body) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let mut content = self.shared.0.lock().unwrap();
        let holds = body.list("precondition").iter().all(|row| {
            let key = row.text("key").unwrap_or_default();
            let stored = content.items.get(key).map_or(0, |item| item.revision);
            Some(stored) == row.number("revision")
        });
        if !holds {
            return (412, "{\"items\":[]}".to_owned());
        }
        let leases = body.list("writes").iter();
        let mut leases = leases.map(|write| write.number("lease").unwrap_or(0));
        if leases.any(|lease| lease != 0 && !content.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        content.revision += 1;
        for write in body.list("writes") {
            let key = write.text("key").unwrap_or_default();
            let value = write.text("value").unwrap_or_default().to_owned();
            content.set(key, value, write.number("lease").unwrap_or(0));
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key {
                content.remove(key);
            }
        }
        let revision = content.revision;
        drop(content);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, call: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let ttl_ms = Json::parse(&text).and_then(|body| body.number("ttl-ms"));
        let ttl_ms = ttl_ms.unwrap_or(1_000).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut content = self.shared.0.lock().unwrap();
        content.next_lease += 1;
        let id = 77_000 + content.next_lease;
        let ends = Instant::now() + ttl;
        content.leases.insert(id, Lease { ttl, ends });
        (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl_ms}}}"))
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let mut content = self.shared.0.lock().unwrap();
        let lease = id_of(path).and_then(|id| content.leases.get_mut(&id));
        match lease {
            None => (404, "{}".to_owned()),
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl-ms\":{}}}", lease.ttl.as_millis()))
            }
        }
    }

    fn end(&self, path: &str) -> (u16, String) {
        let mut content = self.shared.0.lock().unwrap();
        if let Some(id) = id_of(path) {
            content.end_lease(id);
        }
        drop(content);
        self.shared.1.notify_all();
        (200, "{}".to_owned())
    }
}

fn id_of(path: &str) -> Option<u64> {
    path.rsplit('/').next()?.parse().ok()
}

fn fields(key: &str, item: &Item, wiring: &Wiring) -> String {
    let value = match key.starts_with("nodes/") {
        true => wired(&item.value, wiring),
        false => item.value.clone(),
    };
    format!(
        "\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{},\"created\":{},\"lease\":{}",
        item.revision, item.created, item.lease
    )
}

fn wired(value: &str, wiring: &Wiring) -> String {
    let decoded = base64::decode(value).and_then(|bytes| String::from_utf8(bytes).ok());
    let Some(mut text) = decoded else {
        return value.to_owned();
    };
    for (node, proxy) in wiring.lock().unwrap().iter() {
        text = text.replace(&format!("\"{node}\""), &format!("\"{proxy}\""));
    }
    base64::encode(text.as_bytes())
}
