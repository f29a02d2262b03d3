"""Exchange messages between sidecars."""
