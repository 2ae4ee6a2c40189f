//! A small store of objects as the pages have it, whose lists and watches come in parts of about 1 MB.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json, value::RawValue};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time,
};

/// A part of a list or of a watch ends once it has this many bytes or objects.
const PART_BYTES: usize = 1_000_000;
const PART_OBJECTS: usize = 500;

#[derive(Clone)]
struct Object {
    name: String,
    created: u64,
    revision: u64,
    spec: Arc<str>,
    status: Arc<str>,
}

impl Object {
    fn text(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"modRevision\":{},\"createRevision\":{},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":{}}}",
            json!(self.name),
            self.revision,
            self.created,
            self.spec,
            self.status
        )
    }
}

struct Event {
    kind: String,
    deleted: bool,
    object: Object,
    revision: u64,
}

struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<Event>,
}

struct Shared {
    objects: Mutex<Objects>,
    changed: Notify,
}

/// The store. It ends with the process.
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> Object {
        let known = self.kinds.get(kind).and_then(|objects| objects.get(name));
        let revision = self.revision + 1;
        let mut object = known.cloned().unwrap_or(Object {
            name: name.to_owned(),
            created: revision,
            revision: 0,
            spec: "null".into(),
            status: "null".into(),
        });
        let before = object.clone();
        object.spec = spec.map_or(object.spec, Into::into);
        object.status = status.map_or(object.status, Into::into);
        if before.revision > 0 && before.spec == object.spec && before.status == object.status {
            return before;
        }
        (self.revision, object.revision) = (revision, revision);
        self.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), object.clone());
        self.note(kind, false, &object);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Object> {
        let object = self.kinds.get_mut(kind)?.remove(name)?;
        self.revision += 1;
        self.note(kind, true, &object);
        Some(object)
    }

    fn note(&mut self, kind: &str, deleted: bool, object: &Object) {
        let (kind, object, revision) = (kind.to_owned(), object.clone(), self.revision);
        self.history.push(Event { kind, deleted, object, revision });
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let mut text = String::from("{\"items\":[");
        let mut count = 0;
        let mut has_more = false;
        let objects = self.kinds.get(kind).into_iter().flatten();
        for (_, object) in objects.filter(|(name, _)| name.as_str() > after) {
            if count > 0 && (text.len() + object.spec.len() > PART_BYTES || count == PART_OBJECTS) {
                has_more = true;
                break;
            }
            if count > 0 {
                text.push(',');
            }
            text.push_str(&object.text());
            count += 1;
        }
        text.push_str(&format!("],\"hasMore\":{has_more},\"asOf\":{}}}", self.revision));
        text
    }

    /// The changes of a kind after a revision. None if there are none.
    fn changes(&self, kind: &str, after: u64) -> Option<String> {
        let mut text = String::from("{\"events\":[");
        let (mut count, mut as_of) = (0, self.revision);
        for event in &self.history {
            if event.revision <= after || event.kind != kind {
                continue;
            }
            if count > 0 && text.len() + event.object.spec.len() > PART_BYTES {
                as_of = event.revision - 1;
                break;
            }
            if count > 0 {
                text.push(',');
            }
            text.push_str(&format!("{{\"deleted\":{},\"object\":{}}}", event.deleted, event.object.text()));
            count += 1;
        }
        text.push_str(&format!("],\"asOf\":{as_of}}}"));
        (count > 0).then_some(text)
    }
}

impl Store {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let objects = Objects { revision: 1, kinds: BTreeMap::new(), history: Vec::new() };
        let shared = Arc::new(Shared { objects: Mutex::new(objects), changed: Notify::new() });
        let served = shared.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, served.clone()));
            }
        });
        Self { address, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.objects.lock().unwrap().remove(kind, name);
        self.shared.changed.notify_waiters();
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.objects.lock().unwrap().put(kind, name, Some(spec), None);
        self.shared.changed.notify_waiters();
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            let mut piece = [0; 16_384];
            match stream.read(&mut piece).await {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&piece[..count]),
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
        });
        let length = length.unwrap_or(0);
        while bytes.len() < end + 4 + length {
            let mut piece = [0; 16_384];
            match stream.read(&mut piece).await {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&piece[..count]),
            }
        }
        let body: Vec<u8> = bytes.drain(..end + 4 + length).skip(end + 4).collect();
        let mut words = head.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (status, text) = answer(&shared, method, target, &body).await;
        let head = format!(
            "HTTP/1.1 {status} X\r\nstore-era: 1\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n",
            text.len()
        );
        if stream.write_all(head.as_bytes()).await.is_err()
            || stream.write_all(text.as_bytes()).await.is_err()
        {
            return;
        }
    }
}

#[derive(Default)]
struct Write {
    name: String,
    mod_revision: Option<u64>,
    spec: Option<String>,
    status: Option<String>,
}

fn write_of(body: &[u8]) -> Option<Write> {
    let fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body).ok()?;
    let metadata: Value = serde_json::from_str(fields.get("metadata")?.get()).ok()?;
    let text = |field: &str| fields.get(field).map(|raw| raw.get().to_owned());
    Some(Write {
        name: metadata["name"].as_str().unwrap_or_default().to_owned(),
        mod_revision: metadata["modRevision"].as_u64(),
        spec: text("spec"),
        status: text("status"),
    })
}

async fn answer(shared: &Shared, method: &str, target: &str, body: &[u8]) -> (u16, String) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    };
    let mut segments = path.trim_start_matches("/-/objects/").split('/');
    let kind = segments.next().unwrap_or_default();
    let name = segments.next().unwrap_or_default();
    let is_status = segments.next() == Some("status");
    if method == "GET" && name.is_empty() {
        let Some(since) = parameter("watch").and_then(|it| it.parse::<u64>().ok()) else {
            let after = parameter("after").unwrap_or_default();
            return (200, shared.objects.lock().unwrap().list(kind, &after));
        };
        let wait_ms = parameter("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = shared.changed.notified();
            {
                let objects = shared.objects.lock().unwrap();
                if since > objects.revision {
                    return (410, "{}".to_owned());
                }
                if let Some(text) = objects.changes(kind, since) {
                    return (200, text);
                }
                if time::Instant::now() >= until {
                    return (200, format!("{{\"events\":[],\"asOf\":{}}}", objects.revision));
                }
            }
            let _ = time::timeout_at(until, changed).await;
        }
    }
    let write = write_of(body).unwrap_or_default();
    let result = {
        let mut objects = shared.objects.lock().unwrap();
        let known = objects.kinds.get(kind).and_then(|known| known.get(name)).cloned();
        let expected =
            write.mod_revision.or_else(|| parameter("modRevision").and_then(|it| it.parse().ok()));
        let conflicts = known.as_ref().is_some_and(|known| expected.is_some_and(|at| at != known.revision));
        match method {
            "GET" => known.map_or((404, "{}".to_owned()), |known| (200, known.text())),
            "POST" => {
                let exists = objects.kinds.get(kind).is_some_and(|it| it.contains_key(&write.name));
                match exists {
                    true => (409, "{}".to_owned()),
                    false => (201, objects.put(kind, &write.name, write.spec.as_deref(), None).text()),
                }
            }
            _ if known.is_none() => (404, "{}".to_owned()),
            _ if conflicts => (409, known.map(|known| known.text()).unwrap_or_default()),
            "PUT" if is_status => (200, objects.put(kind, name, None, write.status.as_deref()).text()),
            "PUT" => (200, objects.put(kind, name, write.spec.as_deref(), None).text()),
            "DELETE" => (200, objects.remove(kind, name).map(|it| it.text()).unwrap_or_default()),
            _ => (400, "{}".to_owned()),
        }
    };
    shared.changed.notify_waiters();
    result
}
