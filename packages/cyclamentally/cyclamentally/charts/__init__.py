"""Chart files of the life cycles."""
