import asyncio
import socket

from dahliashunt.adapters.sockets import listening_socket


def test_accepted_connections_do_not_wait_for_acknowledgements():
    # Guards against Nagle's algorithm delaying small writes of a stream.
    async def nodelay():
        seen = asyncio.get_running_loop().create_future()

        async def accepted(reader, writer):
            sock = writer.get_extra_info("socket")
            seen.set_result(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            writer.close()

        listener = listening_socket("127.0.0.1", 0)
        server = await asyncio.start_server(accepted, sock=listener)
        _, writer = await asyncio.open_connection(*listener.getsockname())
        result = await seen
        writer.close()
        server.close()
        return result

    assert asyncio.run(nodelay()) != 0
