//! Tests of the daemon as a separate process.

mod support;

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
};

use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    text,
};
use support::{dial, lookup, model_run, open_run, read_answer, read_lines, settings_text, until};

const PROMPT: &str = "Is the trunk road north cleared?";

/// A settings file that is removed when it is dropped.
struct SettingsFile(std::path::PathBuf);

impl SettingsFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("{name}-{}.ini", std::process::id());
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

struct Daemon {
    child: Child,
    peers: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    fn start(settings: &SettingsFile) -> Self {
        let mut child = command(settings).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = |name: &str| {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            word.unwrap_or_else(|| panic!("no {name} in {line:?}")).parse().unwrap()
        };
        assert!(line.starts_with("ready "), "unexpected first line {line:?}");
        Self { peers: address("peers="), admin: address("admin="), child }
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    async fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        until(async || {
            code = self.child.try_wait().unwrap();
            code.is_some()
        })
        .await;
        code.unwrap().code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(settings: &SettingsFile) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_samphirespread-agent"));
    command.arg("--settings").arg(&settings.0).stderr(Stdio::null());
    command
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<bytes::Bytes>>();
    let response = client.get(format!("http://{address}{path}").parse().unwrap()).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

async fn slow_engine() -> Engine {
    let config = EngineConfig::new("reader", "v1").decode_step_us(10_000).load_lag_ms(0);
    Engine::start(config).await.unwrap()
}

#[tokio::test]
async fn the_admin_port_serves_health_metrics_and_state() {
    let engine = slow_engine().await;
    let file = SettingsFile::new("admin", &settings_text("model", engine.address(), ""));
    let daemon = Daemon::start(&file);
    until(async || get(daemon.admin, "/readyz").await.0 == 200).await;
    let connection = dial(daemon.peers).await;
    let answer = read_answer(&mut open_run(&connection, &model_run(1, PROMPT, 5)).await).await;

    let (health, _) = get(daemon.admin, "/healthz").await;
    let (_, metrics) = get(daemon.admin, "/metrics").await;
    let (_, dump) = get(daemon.admin, "/dump").await;
    engine.go_down().await.unwrap();
    until(async || get(daemon.admin, "/readyz").await.0 == 503).await;

    assert_eq!(answer.text, text::answer(PROMPT, 5));
    assert_eq!(health, 200);
    assert!(metrics.contains("samphirespread_agent_attempts_total{outcome=\"finished\"} 1"));
    let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
    assert_eq!(dump["backend"]["state"], "up");
    assert_eq!(dump["attempts"][0]["lines"], 5);
    assert!(!dump.to_string().contains(support::SECRET));
}

#[tokio::test]
async fn finishes_running_attempts_and_exits_with_zero_on_sigterm() {
    let engine = slow_engine().await;
    let file = SettingsFile::new("drain", &settings_text("model", engine.address(), ""));
    let mut daemon = Daemon::start(&file);
    until(async || get(daemon.admin, "/readyz").await.0 == 200).await;
    let connection = dial(daemon.peers).await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 50)).await;
    let begin = read_lines(&mut replies, 2).await;

    daemon.terminate();
    until(async || !lookup(&connection, &[]).await.takes_work).await;
    let red = get(daemon.admin, "/readyz").await.0;
    let rest = read_answer(&mut replies).await;
    drop((replies, connection));

    assert_eq!(red, 503);
    assert_eq!(begin + &rest.text, text::answer(PROMPT, 50));
    assert_eq!(daemon.exit_code().await, Some(0));
}

#[tokio::test]
async fn exits_with_a_fault_when_attempts_exceed_the_drain_timeout() {
    let engine = slow_engine().await;
    let more = "[drain]\ntimeout_ms = 100\n";
    let file = SettingsFile::new("cut", &settings_text("model", engine.address(), more));
    let mut daemon = Daemon::start(&file);
    until(async || get(daemon.admin, "/readyz").await.0 == 200).await;
    let connection = dial(daemon.peers).await;
    let mut replies = open_run(&connection, &model_run(1, PROMPT, 100_000)).await;
    read_lines(&mut replies, 1).await;

    daemon.terminate();

    assert_eq!(daemon.exit_code().await, Some(1));
}

#[tokio::test]
async fn invalid_bytes_on_the_peers_port_do_not_affect_other_connections() {
    let engine = slow_engine().await;
    let file = SettingsFile::new("broken", &settings_text("model", engine.address(), ""));
    let daemon = Daemon::start(&file);
    until(async || get(daemon.admin, "/readyz").await.0 == 200).await;
    let connection = dial(daemon.peers).await;

    for bytes in [&b"GET /exchange HTTP/1.1\r\n\r\n"[..], &[0xff; 4_096]] {
        let mut socket = TcpStream::connect(daemon.peers).unwrap();
        socket.write_all(bytes).unwrap();
    }
    let answer = read_answer(&mut open_run(&connection, &model_run(1, PROMPT, 5)).await).await;

    assert_eq!(answer.finished().length, 5);
}

#[test]
fn check_reports_whether_the_settings_are_valid() {
    let backend = "127.0.0.1:1".parse().unwrap();
    let good = SettingsFile::new("good", &settings_text("model", backend, ""));
    let bad = SettingsFile::new("bad", &settings_text("model", backend, "[queue]\nlength = 3\n"));

    let accepted = command(&good).arg("--check").output().unwrap();
    let refused = command(&bad).arg("--check").stderr(Stdio::piped()).output().unwrap();

    assert_eq!(accepted.status.code(), Some(0));
    assert_eq!(refused.status.code(), Some(2));
    assert!(String::from_utf8(refused.stderr).unwrap().contains("length"));
}
