//! Tests the platform stand-in over HTTP.

use std::{net::SocketAddr, time::Duration};

use daisy_standin::{
    Faults, Platform,
    client::{Answer, CallError, Client},
    platform::{LogOptions, Options, VmChange},
};
use daisy_wire::platform::{Appended, Expired, LogPage, RoleJson, StatusJson, VmJson, VmList};
use http::{Request, StatusCode};
use http_body_util::Full;

const SOON: Duration = Duration::from_secs(5);

async fn append(to: SocketAddr, id: &str, from: &str, body: &str) -> Result<Answer, CallError> {
    let req = Request::post(format!("http://{to}/v1/log"))
        .header("append-id", id)
        .header("daisy-from", from)
        .body(Full::from(body.to_owned()))
        .unwrap();
    Client::new().send(req, SOON).await
}

async fn get(to: SocketAddr, path: &str) -> Answer {
    Client::new().get(to, path, SOON).await.unwrap()
}

async fn page(to: SocketAddr, path: &str) -> LogPage {
    serde_json::from_slice(&get(to, path).await.body).unwrap()
}

fn vm(id: u32) -> VmJson {
    VmJson {
        id,
        name: format!("vm-{id}"),
        dc: 0,
        rack: 0,
        role: RoleJson::Worker,
        status: StatusJson::Live,
        control: SocketAddr::from(([127, 0, 0, 1], 1)),
        backend: None,
        capacity: Default::default(),
    }
}

#[tokio::test]
async fn two_appends_with_the_same_id_are_both_appended() {
    let platform = Platform::start(Options::default()).await.unwrap();

    let first = append(platform.address(), "1-1", "a", "x").await.unwrap();
    let second = append(platform.address(), "1-1", "a", "x").await.unwrap();

    let offset = |answer: &Answer| serde_json::from_slice::<Appended>(&answer.body).unwrap().offset;
    assert_eq!((offset(&first), offset(&second)), (0, 1));
    let page = page(platform.address(), "/v1/log?from=0").await;
    assert_eq!((page.first, page.next, page.records.len()), (0, 2, 2));
    assert_eq!(page.records[1].bytes().unwrap(), b"x");
}

#[tokio::test]
async fn a_long_poll_ends_when_a_record_is_appended() {
    let platform = Platform::start(Options::default()).await.unwrap();
    let address = platform.address();

    let reader = tokio::spawn(async move { page(address, "/v1/log?from=0&wait_ms=4000").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    append(address, "1-1", "a", "x").await.unwrap();

    assert_eq!(reader.await.unwrap().records.len(), 1);
}

#[tokio::test]
async fn old_records_expire() {
    let log = LogOptions { keep_records: 2, ..LogOptions::default() };
    let platform = Platform::start(Options { log, ..Options::default() }).await.unwrap();
    for id in ["1-1", "1-2", "1-3"] {
        append(platform.address(), id, "a", id).await.unwrap();
    }

    let expired = get(platform.address(), "/v1/log?from=0").await;

    assert_eq!(expired.status, StatusCode::GONE);
    assert_eq!(serde_json::from_slice::<Expired>(&expired.body).unwrap().first, 1);
}

#[tokio::test]
async fn an_append_over_the_rate_limit_is_refused_with_a_retry_after_header() {
    let log = LogOptions { appends_per_second: 1, ..LogOptions::default() };
    let platform = Platform::start(Options { log, ..Options::default() }).await.unwrap();
    append(platform.address(), "1-1", "a", "x").await.unwrap();

    let refused = append(platform.address(), "1-2", "a", "x").await.unwrap();

    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.headers["retry-after"], "1");
}

#[tokio::test]
async fn a_record_over_the_size_limit_is_refused() {
    let options = Options { body_bytes: 4, ..Options::default() };
    let platform = Platform::start(options).await.unwrap();

    let refused = append(platform.address(), "1-1", "a", "12345").await.unwrap();

    assert_eq!(refused.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(page(platform.address(), "/v1/log?from=0").await.next, 0);
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_has_taken_effect() {
    let platform = Platform::start(Options::default()).await.unwrap();
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() }).unwrap();

    let lost = append(platform.address(), "1-1", "a", "x").await;

    assert!(matches!(lost, Err(CallError::Broken(_))), "{lost:?}");
    assert_eq!(page(platform.address(), "/v1/log?from=0").await.next, 1);
}

#[tokio::test]
async fn appends_during_an_outage_or_a_cut_have_no_effect() {
    let platform = Platform::start(Options::default()).await.unwrap();
    platform.set_faults(Faults { down: true, ..Faults::default() }).unwrap();
    let down = append(platform.address(), "1-1", "a", "x").await.unwrap();
    let cut = Faults { cut: vec!["a".to_owned()], ..Faults::default() };
    platform.set_faults(cut).unwrap();

    let from_a = append(platform.address(), "1-2", "a", "x").await;
    let from_b = append(platform.address(), "1-3", "b", "x").await.unwrap();

    assert_eq!(down.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(from_a.is_err());
    assert_eq!(from_b.status, StatusCode::OK);
    assert_eq!(page(platform.address(), "/v1/log?from=0").await.next, 1);
}

#[tokio::test]
async fn a_change_is_visible_in_the_vm_list_after_the_lag_with_a_new_version() {
    let options =
        Options { vms: vec![vm(1)], vm_lag: Duration::from_millis(300), ..Options::default() };
    let platform = Platform::start(options).await.unwrap();
    let address = platform.address();
    let list = |answer: Answer| serde_json::from_slice::<VmList>(&answer.body).unwrap();
    let before = list(get(address, "/v1/vms").await);

    platform.change_vm(VmChange::Leave(1)).unwrap();
    let at_once = get(address, &format!("/v1/vms?since={}", before.version)).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let later = list(get(address, &format!("/v1/vms?since={}", before.version)).await);

    assert_eq!(at_once.status, StatusCode::NOT_MODIFIED);
    assert_eq!(later.vms[0].status, StatusJson::Leaving);
    assert!(later.version > before.version);
}

#[tokio::test]
async fn the_number_of_a_removed_vm_cannot_be_reused() {
    let platform =
        Platform::start(Options { vms: vec![vm(1)], ..Options::default() }).await.unwrap();
    platform.change_vm(VmChange::Remove(1)).unwrap();

    let again = platform.change_vm(VmChange::Put(vm(1)));

    assert!(again.is_err());
}

#[tokio::test]
async fn the_error_for_an_unknown_switch_names_it() {
    let platform = Platform::start(Options::default()).await.unwrap();
    let post = |json: &'static str| async move {
        Client::new().post(platform.address(), "/standin/faults", json, SOON).await.unwrap()
    };

    let unknown = post(r#"{"dwon": true}"#).await;

    assert_eq!(unknown.status, StatusCode::BAD_REQUEST);
    assert!(String::from_utf8_lossy(&unknown.body).contains("dwon"));
}

#[tokio::test]
async fn the_error_for_a_switch_of_another_stand_in_names_it() {
    let platform = Platform::start(Options::default()).await.unwrap();

    let refused = platform.set_faults(Faults { truncate: 1, ..Faults::default() }).unwrap_err();

    assert!(refused.to_string().contains("truncate"), "{refused}");
}

#[tokio::test]
async fn an_address_override_applies_to_one_process_only() {
    let platform =
        Platform::start(Options { vms: vec![vm(1)], ..Options::default() }).await.unwrap();
    let address = platform.address();
    let views = r#"[{"from": "a", "vm": 1, "control": "127.0.0.1:2"}]"#;
    Client::new().post(address, "/standin/views", views, SOON).await.unwrap();
    let list = |from: &'static str| async move {
        let req = Request::get(format!("http://{address}/v1/vms")).header("daisy-from", from);
        let answer = Client::new().send(req.body(Full::default()).unwrap(), SOON).await.unwrap();
        serde_json::from_slice::<VmList>(&answer.body).unwrap().vms[0].control.port()
    };

    assert_eq!((list("a").await, list("b").await), (2, 1));
}
