/// The level L of a max-min division: every account gets the lesser of what it
/// asks and L, and together they get `capacity`. Infinite where all can have
/// what they ask.
pub fn fair_level(
    mut asked: Vec<f32>,
    capacity: f32,
) -> f32 {
    asked.sort_by(f32::total_cmp);
    let mut left = capacity;
    let mut accounts = asked.len() as f32;
    for ask in asked {
        let even = left / accounts;
        if ask > even {
            return even.max(0.0);
        }
        left -= ask;
        accounts -= 1.0;
    }
    f32::INFINITY
}
