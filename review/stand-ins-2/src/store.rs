//! The platform's metadata store, in memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http::Connection;
use crate::http::Message;
use crate::http::message;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<String>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    is_down: bool,
    turned_away: HashSet<IpAddr>,
    /// How often the store went back, if it may at all.
    era: Option<u64>,
}

/// An earlier state of the store.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Duration>,
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.clone(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), Some(value)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let items = self.items.iter();
        let ended = items.filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, ends))| *ends <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({
            "key": key, "value": item.value, "revision": item.revision, "created": item.created,
            "lease": item.lease, "current-rev": self.revision,
        }))
    }
}

/// The store. Clones share one content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<Mutex<Content>>,
    changed: Arc<Notify>,
}

impl Store {
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            content: Arc::default(),
            changed: Arc::default(),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let store = serving.clone();
                tokio::spawn(async move { store.serve(Connection::new(stream), from.ip()).await });
            }
        });
        let expiring = store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(50)).await;
                expiring.content.lock().expect("no panic").expire();
                expiring.changed.notify_waiters();
            }
        });
        Ok(store)
    }

    /// Writes what the operator writes.
    pub fn publish(&self, configuration: &Value) {
        let value = STANDARD.encode(configuration.to_string());
        self.content
            .lock()
            .expect("no panic")
            .write("op/config", value, 0);
        self.changed.notify_waiters();
    }

    /// Answers all calls with 503, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.content.lock().expect("no panic").is_down = is_down;
    }

    /// Answers the calls of one machine with 503, or serves it again.
    pub fn turn_away(&self, machine: IpAddr, is_turned_away: bool) {
        let mut content = self.content.lock().expect("no panic");
        match is_turned_away {
            true => content.turned_away.insert(machine),
            false => content.turned_away.remove(&machine),
        };
    }

    /// Names its era in all answers from now on.
    pub fn count_eras(&self) {
        self.content.lock().expect("no panic").era = Some(1);
    }

    /// Returns a copy of what it holds now.
    pub fn copy(&self) -> Copy {
        let content = self.content.lock().expect("no panic");
        let leases = content.leases.iter();
        Copy {
            revision: content.revision,
            items: content.items.clone(),
            leases: leases.map(|(lease, (ttl, _))| (*lease, *ttl)).collect(),
        }
    }

    /// Goes back to a copy. What was written since is gone, leases too, but for what the operator wrote.
    pub fn go_back(&self, copy: &Copy, configuration: &Value) {
        {
            let mut content = self.content.lock().expect("no panic");
            let now = Instant::now();
            content.revision = copy.revision;
            content.items = copy.items.clone();
            content
                .history
                .retain(|(revision, _, _)| *revision <= copy.revision);
            let leases = copy.leases.iter();
            content.leases = leases
                .map(|(lease, ttl)| (*lease, (*ttl, now + *ttl)))
                .collect();
            content.era = content.era.map(|era| era + 1);
        }
        self.publish(configuration);
    }

    /// Returns the decoded values below a prefix.
    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        let content = self.content.lock().expect("no panic");
        let items = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let decoded = items.map(|(key, item)| {
            let value = STANDARD.decode(&item.value).unwrap_or_default();
            (key.clone(), String::from_utf8_lossy(&value).into_owned())
        });
        decoded.collect()
    }

    async fn serve(&self, mut connection: Connection, from: IpAddr) {
        while let Ok(Some(request)) = connection.read().await {
            let is_refused = {
                let content = self.content.lock().expect("no panic");
                content.is_down || content.turned_away.contains(&from)
            };
            let (status, body) = match is_refused {
                true => (503, json!({})),
                false => self.answer(&request).await,
            };
            let first = format!("HTTP/1.1 {status} S");
            let era = self.content.lock().expect("no panic").era;
            let era = era.map(|era| era.to_string());
            let mut headers = vec![("Content-Type", "application/json")];
            headers.extend(era.iter().map(|era| ("Store-Era", era.as_str())));
            let bytes = message(&first, &headers, body.to_string().as_bytes());
            // What the store takes for an answer.
            tokio::time::sleep(Duration::from_millis(4)).await;
            if connection.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Message) -> (u16, Value) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decoded(value)))
            .collect();
        let word = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| word(name).parse::<u64>().unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let content = self.content.lock().expect("no panic");
                match content.item(&word("key")) {
                    Some(item) => (200, item),
                    None => (404, json!({ "current-rev": content.revision })),
                }
            }
            ("GET", "/api/kv-range") => {
                let content = self.content.lock().expect("no panic");
                let (prefix, after) = (word("prefix"), word("after"));
                let keys = content.items.keys();
                let keys = keys.filter(|key| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = keys.filter_map(|key| content.item(key)).collect();
                let revision = content.revision;
                (
                    200,
                    json!({ "items": items, "has-more": false, "current-rev": revision }),
                )
            }
            ("GET", "/api/kv-watch") => {
                let wait = Duration::from_millis(number("wait-ms"));
                self.watch(&word("prefix"), number("after"), wait).await
            }
            ("POST", "/api/kv-txn") => self.commit(&body),
            ("POST", "/api/kv-lease") => {
                let ttl = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1_000));
                let mut content = self.content.lock().expect("no panic");
                content.next_lease += 1;
                let lease = content.next_lease;
                content.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    json!({ "lease": lease, "ttl-ms": ttl.as_millis() as u64 }),
                )
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut content = self.content.lock().expect("no panic");
                match content.leases.get_mut(&lease) {
                    Some((ttl, ends)) => {
                        *ends = Instant::now() + *ttl;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                match self.content.lock().expect("no panic").end_lease(lease) {
                    true => (200, json!({})),
                    false => (404, json!({})),
                }
            }
            _ => (404, json!({})),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let content = self.content.lock().expect("no panic");
                if after > content.revision {
                    return (410, json!({ "current-rev": content.revision }));
                }
                let events: Vec<Value> = content
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                    .map(|(revision, key, value)| match value {
                        Some(value) => json!({ "key": key, "value": value, "revision": revision }),
                        None => json!({ "key": key, "revision": revision, "tombstone": true }),
                    })
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    return (
                        200,
                        json!({ "events": events, "current-rev": content.revision }),
                    );
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    fn commit(&self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut content = self.content.lock().expect("no panic");
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let conditions = rows("precondition");
        let holds = conditions.iter().all(|row| {
            let known = content
                .items
                .get(&key_of(row))
                .map_or(0, |item| item.revision);
            known == row["revision"].as_u64().unwrap_or_default()
        });
        if !holds {
            let items = conditions
                .iter()
                .filter_map(|row| content.item(&key_of(row)));
            return (412, json!({ "items": items.collect::<Vec<_>>() }));
        }
        let writes = rows("writes");
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or_default();
        if writes
            .iter()
            .any(|row| lease_of(row) != 0 && !content.leases.contains_key(&lease_of(row)))
        {
            return (404, json!({}));
        }
        for row in &writes {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            content.write(&key_of(row), value, lease_of(row));
        }
        for key in rows("deletes") {
            content.remove(key.as_str().unwrap_or_default());
        }
        let revision = content.revision;
        drop(content);
        self.changed.notify_waiters();
        (200, json!({ "revision": revision }))
    }
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let digits = match byte {
            b'%' => [rest.next(), rest.next()],
            _ => [None, None],
        };
        match digits {
            [Some(high), Some(low)] => {
                let digits = [high, low];
                let digits = std::str::from_utf8(&digits).unwrap_or("20");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
