//! A panic ends no more than the request that panicked.

use archmast::ops::catch_panic;

#[tokio::test]
async fn a_future_that_panics_has_no_output() {
    let panics = async {
        tokio::task::yield_now().await;
        panic!("in a test");
    };
    assert_eq!(catch_panic(panics).await, None::<()>);
    assert_eq!(catch_panic(async { 1 }).await, Some(1));
}
