"""Route chats, jobs and service calls to upstreams."""
