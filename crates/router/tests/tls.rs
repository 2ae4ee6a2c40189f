//! Tests of TLS on the port for callers.

use std::{fs, net::SocketAddr, path::PathBuf, process, sync::Arc};

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::{ClientConfig, RootCertStore, crypto::ring};
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject};
use samphirespread_router::{Router, RouterError};
use samphirespread_settings::RouterSettings;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_rustls::TlsConnector;
use tokio_util::sync::CancellationToken;

/// A temporary directory with a self-signed certificate and its key.
struct Files {
    dir: PathBuf,
    certificate: String,
}

impl Files {
    fn new(name: &str) -> Self {
        let dir =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        let CertifiedKey { cert, signing_key } =
            generate_simple_self_signed(["localhost".to_owned()]).unwrap();
        fs::write(dir.join("chain.pem"), cert.pem()).unwrap();
        fs::write(dir.join("key.pem"), signing_key.serialize_pem()).unwrap();
        Self { dir, certificate: cert.pem() }
    }

    fn settings(&self) -> RouterSettings {
        let dir = self.dir.display();
        RouterSettings::parse(&format!(
            "[instance]\nname = r1\nregion = khomas\nfailure_domain = khomas-1\n\
             [listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = 127.0.0.1:9\n[security]\npeer_secret = a-secret-of-the-test\n\
             [tls]\ncertificate = {dir}/chain.pem\nkey = {dir}/key.pem\n"
        ))
        .unwrap()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

async fn get(address: SocketAddr, trusted: &str) -> String {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(trusted.as_bytes()).unwrap()).unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let socket = TcpStream::connect(address).await.unwrap();
    let name = ServerName::try_from("localhost").unwrap();
    let mut stream = TlsConnector::from(Arc::new(config)).connect(name, socket).await.unwrap();
    let request = "GET /v1/models HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A missing TLS close_notify is accepted; the caller checks that the answer is whole.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

#[tokio::test]
async fn serves_callers_over_tls_with_a_certificate() {
    let files = Files::new("router-tls");
    let router = Router::bind(files.settings(), Logger::root(Discard, o!())).await.unwrap();
    let address = router.addresses().callers;
    let shutdown = CancellationToken::new();
    let running = tokio::spawn(router.run(shutdown.clone()));

    let answer = get(address, &files.certificate).await;
    shutdown.cancel();
    let drained = running.await.unwrap();

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("{\"object\":\"list\",\"data\":[]}"), "{answer}");
    assert!(drained);
}

#[tokio::test]
async fn refuses_to_start_with_an_invalid_certificate() {
    let files = Files::new("router-tls-broken");
    fs::write(files.dir.join("chain.pem"), "nothing").unwrap();

    let started = Router::bind(files.settings(), Logger::root(Discard, o!())).await;

    let Err(RouterError::Tls(error)) = started else { panic!("the router started") };
    assert!(error.to_string().contains("chain.pem"), "{error}");
}
