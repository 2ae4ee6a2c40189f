//! TLS for connections from callers, with certificates that are reloaded when their files change.
//!
//! ```no_run
//! use samphirespread_settings::TlsSettings;
//! use samphirespread_tls::ServerTls;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn example(settings: TlsSettings, log: slog::Logger) -> Result<(), Box<dyn std::error::Error>> {
//! let tls = ServerTls::load(settings)?;
//! tokio::spawn(tls.clone().reread(log, CancellationToken::new()));
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let (socket, _) = listener.accept().await?;
//! let stream = tls.accept(socket).await?;
//! # drop(stream);
//! # Ok(())
//! # }
//! ```
//!
//! New connections use the latest valid certificate. Open connections keep theirs, so that a new
//! certificate closes none of them. While the files can't be used, the certificate in force stays.
//! Each such error is logged once, with the name of the file.
//!
//! # Costs
//!
//! Each check for changes reads both files, but parses them only if a byte has changed. Choosing
//! the certificate for a connection takes no lock.
//!
//! # Limits
//!
//! All server names get the same certificate. Client certificates are not requested.

mod error;
mod identity;
mod server;

pub use crate::{error::TlsError, server::ServerTls};
