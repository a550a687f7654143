fn main() -> eyre::Result<()> {
    cornellink::load::run()
}
