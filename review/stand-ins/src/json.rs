//! A small JSON reader, enough for the bodies that relays send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn eat(bytes: &[u8], at: &mut usize, expected: u8) -> Option<()> {
    skip(bytes, at);
    (bytes.get(*at) == Some(&expected)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => table(bytes, at),
        b'[' => list(bytes, at),
        b'"' => text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => number(bytes, at),
    }
}

fn word(bytes: &[u8], at: &mut usize, expected: &str, found: Json) -> Option<Json> {
    let is_there = bytes[*at..].starts_with(expected.as_bytes());
    *at += expected.len();
    is_there.then_some(found)
}

fn number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let start = *at;
    while bytes
        .get(*at)
        .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
    {
        *at += 1;
    }
    let digits = std::str::from_utf8(&bytes[start..*at]).ok()?;
    digits.parse().ok().map(Json::Number)
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    eat(bytes, at, b'"')?;
    let mut found = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match bytes.get(*at)? {
                    b'n' => found.push(b'\n'),
                    b't' => found.push(b'\t'),
                    b'r' => found.push(b'\r'),
                    other => found.push(*other),
                }
            }
            byte => found.push(*byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(found).ok()
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    eat(bytes, at, b'[')?;
    let mut found = Vec::new();
    loop {
        skip(bytes, at);
        if eat(bytes, at, b']').is_some() {
            return Some(Json::List(found));
        }
        if !found.is_empty() {
            eat(bytes, at, b',')?;
        }
        found.push(value(bytes, at)?);
    }
}

fn table(bytes: &[u8], at: &mut usize) -> Option<Json> {
    eat(bytes, at, b'{')?;
    let mut found = BTreeMap::new();
    loop {
        skip(bytes, at);
        if eat(bytes, at, b'}').is_some() {
            return Some(Json::Table(found));
        }
        if !found.is_empty() {
            eat(bytes, at, b',')?;
        }
        skip(bytes, at);
        let key = text(bytes, at)?;
        eat(bytes, at, b':')?;
        found.insert(key, value(bytes, at)?);
    }
}
