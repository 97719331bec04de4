Feature: A request that crashes upstreams is refused by fingerprint

  Scenario Outline: <name>
    When requests crashed upstreams: "<crashes>" and ended well: "<cleared>"
    Then the quarantined fingerprints are "<condemned>"

    Examples:
      | name                                       | crashes                      | cleared | condemned |
      | Two victims are too few                    | a1:kill a2:kill              |         |           |
      | Three victims condemn                      | a1:kill a2:kill a3:kill      |         | kill      |
      | One upstream three times is one victim     | a1:kill a1:kill a1:kill      |         |           |
      | Restarts of one upstream are three victims | a1:kill a1#2:kill a1#3:kill  |         | kill      |
      | The innocent beside it is spared           | a1:kill,x a2:kill,y a3:kill  |         | kill      |
      | An innocent beside it twice is spared      | a1:kill,x a2:kill,x a3:kill  |         | kill      |
      | Two that can't be told apart are spared    | a1:k,x a2:k,x a3:k,x         |         |           |
      | The next crash tells them apart            | a1:k,x a2:k,x a3:k,x a4:k    |         | k         |
      | A popular innocent that ends well          | a1:k,pop a2:k,pop a3:k,pop   | pop     | k         |
      | Two requests that kill                     | a1:k a2:k a3:k b1:l b2:l b3:l |        | k,l       |
      | A lost connection alone is no crash        | a1:k a2:k up:k               |         |           |
      | Crashes beyond the window don't count      | old:k a2:k a3:k              |         |           |
