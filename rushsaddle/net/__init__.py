"""What speaks HTTP on sockets: caller legs, next hops, discovery."""
