//! Checks TLS handshakes while the certificate files change.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::{Arc, Mutex},
    time::Duration,
};

use expect_test::expect;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::{ClientConfig, RootCertStore, crypto::ring};
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject};
use samphirespread_settings::TlsSettings;
use samphirespread_tls::{ServerTls, TlsError};
use slog::{Drain, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_rustls::{TlsConnector, client::TlsStream};
use tokio_util::sync::CancellationToken;

const REREAD_MS: u64 = 10;
const MAX_TRIES: usize = 500;

/// A temporary directory with a certificate and a key.
struct Files {
    dir: PathBuf,
}

impl Files {
    fn new(name: &str) -> Self {
        let dir =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        Self { dir }
    }

    fn settings(&self) -> TlsSettings {
        let (certificate, key) = (self.dir.join("chain.pem"), self.dir.join("key.pem"));
        TlsSettings { certificate, key, reread_ms: REREAD_MS }
    }

    fn write(&self, certificate: &str, key: &str) {
        fs::write(self.dir.join("chain.pem"), certificate).unwrap();
        fs::write(self.dir.join("key.pem"), key).unwrap();
    }

    /// Writes a new certificate and returns it.
    fn renew(&self) -> String {
        let (certificate, key) = new_certificate();
        self.write(&certificate, &key);
        certificate
    }

    /// Returns the message of an error, with `DIR` in place of the directory.
    fn message(&self, error: &TlsError) -> String {
        error.to_string().replace(self.dir.to_str().unwrap(), "DIR")
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn new_certificate() -> (String, String) {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(["localhost".to_owned()]).unwrap();
    (cert.pem(), signing_key.serialize_pem())
}

/// Collects the messages of all log lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), Self::Err> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

/// A TLS server that sends back all bytes that it receives.
struct Server {
    address: SocketAddr,
    lines: Lines,
    shutdown: CancellationToken,
}

impl Server {
    async fn start(tls: ServerTls) -> Self {
        let lines = Lines::default();
        let shutdown = CancellationToken::new();
        let log = Logger::root(lines.clone().fuse(), o!());
        tokio::spawn(tls.clone().reread(log, shutdown.clone()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let tls = tls.clone();
                tokio::spawn(async move {
                    let (mut reader, mut writer) = tokio::io::split(tls.accept(socket).await?);
                    tokio::io::copy(&mut reader, &mut writer).await
                });
            }
        });
        Self { address, lines, shutdown }
    }

    async fn connect(&self, trusted: &str) -> io::Result<TlsStream<TcpStream>> {
        let mut roots = RootCertStore::empty();
        roots.add(CertificateDer::from_pem_slice(trusted.as_bytes()).unwrap()).unwrap();
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        let socket = TcpStream::connect(self.address).await?;
        let name = ServerName::try_from("localhost").unwrap();
        TlsConnector::from(Arc::new(config)).connect(name, socket).await
    }

    /// Retries until the server presents this certificate, and returns that connection.
    async fn connect_when_in_force(&self, trusted: &str) -> TlsStream<TcpStream> {
        for _ in 0..MAX_TRIES {
            if let Ok(stream) = self.connect(trusted).await {
                return stream;
            }
            tokio::time::sleep(Duration::from_millis(REREAD_MS)).await;
        }
        panic!("the certificate never comes into force");
    }

    async fn wait_for_line(&self, wanted: &str) {
        for _ in 0..MAX_TRIES {
            if self.lines.0.lock().unwrap().iter().any(|line| line == wanted) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(REREAD_MS)).await;
        }
        panic!("never logged: {wanted}");
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

async fn echo(stream: &mut TlsStream<TcpStream>) -> String {
    let mut answer = [0; 4];
    stream.write_all(b"ping").await.unwrap();
    stream.read_exact(&mut answer).await.unwrap();
    String::from_utf8(answer.to_vec()).unwrap()
}

#[tokio::test]
async fn new_connections_get_a_new_certificate_and_open_ones_stay_open() {
    let files = Files::new("renew");
    let first = files.renew();
    let server = Server::start(ServerTls::load(files.settings()).unwrap()).await;
    let mut old = server.connect(&first).await.unwrap();

    let second = files.renew();
    let mut new = server.connect_when_in_force(&second).await;

    assert_eq!(echo(&mut old).await, "ping");
    assert_eq!(echo(&mut new).await, "ping");
    assert!(server.connect(&first).await.is_err());
}

#[tokio::test]
async fn keeps_the_certificate_while_the_files_are_invalid() {
    let files = Files::new("broken");
    let first = files.renew();
    let server = Server::start(ServerTls::load(files.settings()).unwrap()).await;
    let mut old = server.connect(&first).await.unwrap();

    files.write("no certificate", "no key");
    server.wait_for_line("certificate not re-read").await;
    let mut new = server.connect(&first).await.unwrap();
    let second = files.renew();
    let mut newest = server.connect_when_in_force(&second).await;

    assert_eq!(echo(&mut old).await, "ping");
    assert_eq!(echo(&mut new).await, "ping");
    assert_eq!(echo(&mut newest).await, "ping");
}

#[tokio::test]
async fn negotiates_http_2() {
    let files = Files::new("alpn");
    let trusted = files.renew();
    let server = Server::start(ServerTls::load(files.settings()).unwrap()).await;
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(trusted.as_bytes()).unwrap()).unwrap();
    let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    config.alpn_protocols = vec![b"h2".to_vec()];
    let socket = TcpStream::connect(server.address).await.unwrap();
    let name = ServerName::try_from("localhost").unwrap();

    let stream = TlsConnector::from(Arc::new(config)).connect(name, socket).await.unwrap();

    assert_eq!(stream.get_ref().1.alpn_protocol(), Some(&b"h2"[..]));
}

#[tokio::test]
async fn drops_a_client_that_sends_nothing() {
    let files = Files::new("silent");
    files.renew();
    let tls = ServerTls::load(files.settings()).unwrap().handshake_timeout_ms(20);
    let (_client, server) = tokio::io::duplex(1_024);

    let error = tls.accept(server).await.unwrap_err();

    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
}

#[tokio::test]
async fn refuses_a_client_that_does_not_use_tls() {
    let files = Files::new("plain");
    files.renew();
    let tls = ServerTls::load(files.settings()).unwrap();
    let (mut client, server) = tokio::io::duplex(1_024);
    client.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();

    assert!(tls.accept(server).await.is_err());
}

#[test]
fn errors_name_the_file() {
    let files = Files::new("errors");
    let ((first, _), (second, key)) = (new_certificate(), new_certificate());
    let load = || files.message(&ServerTls::load(files.settings()).unwrap_err());

    let mut messages = vec![load()];
    files.write("nothing", &key);
    messages.push(load());
    files.write(&second, "nothing");
    messages.push(load());
    files.write(&first, &key);
    messages.push(load());

    expect![[r#"
        DIR/chain.pem: No such file or directory (os error 2)
        DIR/chain.pem: no certificate in PEM form: no section found
        DIR/key.pem: no private key in PEM form: no items found
        DIR/key.pem is not the key of the first certificate in DIR/chain.pem"#]]
    .assert_eq(&messages.join("\n"));
}

#[test]
fn debug_output_shows_no_key() {
    let files = Files::new("debug");
    let (certificate, key) = new_certificate();
    files.write(&certificate, &key);

    let shown = format!("{:?}", ServerTls::load(files.settings()).unwrap());

    assert!(!shown.contains("PRIVATE"), "{shown}");
}
