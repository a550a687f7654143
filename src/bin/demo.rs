fn main() -> eyre::Result<()> {
    cornellink::demo::run()
}
