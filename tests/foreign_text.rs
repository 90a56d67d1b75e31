//! No input of others makes a parser panic, and input that cannot be parsed affects nothing else. A
//! configured time of 1e300 ms once ended the task that follows the store, and a prompt of four
//! billion tokens overflowed the sum of its tokens.
//!
//! Long run: `PROPTEST_CASES=1000000 cargo test --release --test foreign_text`.

use {
    archmast::{
        catalog::{Catalog, CatalogChange, CatalogItem, UpstreamRecord},
        peers::PeerMessage,
        platform::{dialect, parse_config, parse_replica},
        wire::{PROTOCOL_VERSION, decode_payload},
    },
    hyper::{HeaderMap, header::HeaderValue},
    proptest::prelude::*,
    serde_json::{Map, Number, Value},
};

/// Field names of the JSON of the platform, and one that it does not have.
const NAMES: [&str; 24] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "sequence",
    "born",
    "routes",
    "services",
    "limits",
    "tenants",
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "traffic_split",
    "engine",
    "api_keys",
    "held",
    "other",
];

fn number() -> impl Strategy<Value = Value> {
    prop_oneof![
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(|n| Number::from_f64(n).map_or(Value::Null, Value::Number)),
    ]
}

/// Any JSON, with field names of the platform so that it gets deep into the parsers.
fn json() -> impl Strategy<Value = Value> {
    let word = prop_oneof![
        Just("ready".to_owned()),
        Just("streaming".to_owned()),
        Just("127.0.0.1:80".to_owned()),
        ".{0,12}",
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        number(),
        word.prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 64, 8, |inner| {
        let name = prop::sample::select(&NAMES[..]);
        let fields = prop::collection::vec((name, inner.clone()), 0..10);
        let object = fields.prop_map(|fields| {
            let fields = fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value));
            Value::Object(fields.collect::<Map<String, Value>>())
        });
        prop_oneof![
            prop::collection::vec(inner, 0..6).prop_map(Value::Array),
            object,
        ]
    })
}

/// A configuration with arbitrary values.
fn config() -> impl Strategy<Value = Value> {
    let route = (json(), json(), json(), number()).prop_map(|(kind, service, split, time)| {
        serde_json::json!({"name": "r", "host": "h", "path_prefix": "/", "kind": kind,
            "service": service, "traffic_split": split, "timeout_ms": time,
            "target_latency_ms": time, "max_attempts": time})
    });
    let routes = prop::collection::vec(route, 0..3);
    (number(), routes, json(), json(), json()).prop_map(
        |(version, routes, services, limits, tenants)| {
            serde_json::json!({"version": version, "routes": routes, "services": services,
            "limits": limits, "tenants": tenants})
        },
    )
}

fn record(
    id: &str,
    revision: u64,
    text: &str,
) -> CatalogItem {
    CatalogItem::Upstream(UpstreamRecord {
        id: id.to_owned(),
        revision,
        text: Some(text.to_owned()),
    })
}

const GOOD: &str = r#"{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}"#;

proptest! {
    #[test]
    fn no_text_makes_the_readers_of_the_store_panic(text in ".{0,200}", json in json(), config in config()) {
        for text in [text, json.to_string(), config.to_string()] {
            let _entry = parse_replica("i-1", &text);
            let _named = parse_replica(&text, GOOD);
            let _config = parse_config(&text);
        }
    }

    #[test]
    fn an_entry_that_cannot_be_read_leaves_all_others(id in ".{0,20}", json in json(), at in 4u64..9) {
        let catalog = Catalog::new(parse_config, parse_replica);
        let items = vec![record("i-a", 3, GOOD), record(&id, at, &json.to_string()), record("i-b", 3, GOOD)];
        catalog.offer_listing(CatalogChange { items, revision: 9, era: None }, "store");
        let known: Vec<String> = catalog.upstreams().iter().map(|it| it.id.to_string()).collect();
        prop_assert!(known.contains(&"i-b".to_owned()) || id == "i-b");
        prop_assert_eq!(catalog.version().upstreams, 9);
        let gone = UpstreamRecord { id: id.clone(), revision: 10, text: None };
        let change = CatalogChange { items: vec![CatalogItem::Upstream(gone)], revision: 10, era: None };
        catalog.offer_change(change, "store");
        prop_assert!(catalog.upstreams().iter().all(|it| *it.id != *id));
    }

    #[test]
    fn no_datagram_makes_a_router_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut versioned = vec![PROTOCOL_VERSION];
        versioned.extend_from_slice(&bytes);
        for payload in [&bytes, &versioned] {
            let _message = decode_payload::<PeerMessage>(payload);
        }
    }

    #[test]
    fn no_headers_of_a_caller_or_reply_of_a_replica_make_a_parser_panic(
        parts in prop::collection::vec(("[0-9a-fxyz]{0,17}", any::<u32>()), 0..40),
        counts in (any::<u32>(), any::<u32>()),
        text in "[ -~]{0,60}",
        json in json(),
    ) {
        let parts: Vec<String> = parts.iter().map(|(id, tokens)| format!("{id}:{tokens}")).collect();
        for (parts, counts) in [
            (parts.join(","), format!("{},{}", counts.0, counts.1)),
            (text.clone(), text),
        ] {
            let mut headers = HeaderMap::new();
            for (name, value) in [("archmast-prefix-hash", parts), ("archmast-token-count", counts)] {
                headers.insert(name, HeaderValue::from_str(&value).expect("plain text"));
            }
            if let Some(shape) = (dialect().parse_prompt)(&headers) {
                let all = u64::from(shape.tokens()) + 2 * u64::from(shape.output_tokens);
                prop_assert!(all < 1 << 26, "{all} tokens");
            }
        }
        let _cached_parts = (dialect().cache.parse_list)(json.to_string().as_bytes());
        let _events = (dialect().cache.parse_events)(7, json.to_string().as_bytes());
    }
}
