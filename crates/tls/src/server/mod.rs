//! The server's end of TLS.

use std::{fmt, io, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use rustls::{
    ServerConfig,
    crypto::ring,
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use samphirespread_settings::TlsSettings;
use slog::{Logger, error, info};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_rustls::{TlsAcceptor, server::TlsStream};
use tokio_util::sync::CancellationToken;

use crate::{error::TlsError, identity::Files};

const DEFAULT_HANDSHAKE_TIMEOUT_MS: u64 = 10_000;
const PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// The server's end of TLS. Clones share the certificate.
#[derive(Clone)]
pub struct ServerTls {
    settings: Arc<TlsSettings>,
    identity: Arc<Identity>,
    acceptor: TlsAcceptor,
    handshake_timeout_ms: u64,
}

/// The certificate in force.
#[derive(Debug)]
struct Identity(ArcSwap<CertifiedKey>);

impl ResolvesServerCert for Identity {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.load_full())
    }
}

impl ServerTls {
    /// Reads the certificate and its key.
    ///
    /// # Errors
    ///
    /// [`TlsError`] names the file that can't be used.
    ///
    /// # Panics
    ///
    /// Never: the cryptography supports the default protocol versions.
    pub fn load(settings: TlsSettings) -> Result<Self, TlsError> {
        let certified = Files::read(&settings)?.parse(&settings)?;
        let identity = Arc::new(Identity(ArcSwap::new(certified)));
        let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .expect("the provider supports the default versions")
            .with_no_client_auth()
            .with_cert_resolver(Arc::clone(&identity) as Arc<dyn ResolvesServerCert>);
        config.alpn_protocols = PROTOCOLS.map(<[u8]>::to_vec).to_vec();
        Ok(Self {
            settings: Arc::new(settings),
            identity,
            acceptor: TlsAcceptor::from(Arc::new(config)),
            handshake_timeout_ms: DEFAULT_HANDSHAKE_TIMEOUT_MS,
        })
    }

    /// A client that hasn't finished its handshake by then is dropped.
    #[must_use]
    pub fn handshake_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.handshake_timeout_ms = timeout_ms;
        self
    }

    /// Secures a connection.
    ///
    /// # Errors
    ///
    /// When the handshake fails or takes too long.
    pub async fn accept<S>(&self, stream: S) -> io::Result<TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let limit = Duration::from_millis(self.handshake_timeout_ms);
        timeout(limit, self.acceptor.accept(stream)).await?
    }

    /// Looks at the files at an interval until `shutdown`, and puts a new certificate in force.
    pub async fn reread(self, log: Logger, shutdown: CancellationToken) {
        let mut seen = None;
        let mut told = None;
        let mut ticks = interval(Duration::from_millis(self.settings.reread_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let files = Files::read(&self.settings);
            if seen.as_ref() == Some(&files) {
                continue;
            }
            let adopted = self.adopt(&files);
            seen = Some(files);
            match adopted {
                Ok(()) => {
                    info!(log, "certificate in force"; "file" => %self.settings.certificate.display());
                    told = None;
                }
                Err(fault) if told.as_ref() != Some(&fault) => {
                    error!(log, "certificate not re-read"; "error" => %fault);
                    told = Some(fault);
                }
                Err(_) => {}
            }
        }
    }

    fn adopt(&self, files: &Result<Files, TlsError>) -> Result<(), TlsError> {
        let files = files.as_ref().map_err(Clone::clone)?;
        self.identity.0.store(files.parse(&self.settings)?);
        Ok(())
    }
}

impl fmt::Debug for ServerTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerTls").field("settings", &self.settings).finish_non_exhaustive()
    }
}
