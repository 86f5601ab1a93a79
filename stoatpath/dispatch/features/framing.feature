Feature: Only a length or a last chunk shows that a body is whole

  # Guards against a body that ends with its connection and counts as whole: the last
  # transfer coding decides (RFC 9112, section 6.3).
  Scenario Outline: A body with <fields> is cut by the end of its connection
    When a body with the header fields <fields> ends with its connection
    Then its reader gets an error, or its cut is not detectable

    Examples:
      | fields                                                      |
      | Content-Length: 100                                         |
      | Transfer-Encoding: chunked                                  |
      | Transfer-Encoding: Chunked                                  |
      | Transfer-Encoding: gzip, chunked                            |
      | Transfer-Encoding: chunked, gzip                            |
      | Transfer-Encoding: gzip                                     |
      | Transfer-Encoding: x-chunked                                |
      | Transfer-Encoding: gzip and Transfer-Encoding: chunked      |
      | Transfer-Encoding: chunked and Transfer-Encoding: gzip      |
      | Transfer-Encoding: chunked and Content-Length: 100          |
      | Transfer-Encoding: gzip and Content-Length: 100             |
      | Content-Type: text/plain                                    |
