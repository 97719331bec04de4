Feature: Requests that crash upstreams are quarantined by fingerprint

  Scenario Outline: <name>
    When requests crashed upstreams: "<crashes>" and succeeded: "<cleared>"
    Then the quarantined fingerprints are "<quarantined>"

    Examples:
      | name                                                | crashes                       | cleared | quarantined |
      | Two crashed upstreams are too few                   | a1:kill a2:kill               |         |             |
      | Three crashed upstreams are enough                  | a1:kill a2:kill a3:kill       |         | kill        |
      | Repeated crashes of one incarnation count once      | a1:kill a1:kill a1:kill       |         |             |
      | Crashes of three incarnations of one upstream count | a1:kill a1#2:kill a1#3:kill   |         | kill        |
      | Another request in flight is not quarantined        | a1:kill,x a2:kill,y a3:kill   |         | kill        |
      | Being in flight at two of the crashes is too little | a1:kill,x a2:kill,x a3:kill   |         | kill        |
      | Two with the same crashes are not quarantined       | a1:k,x a2:k,x a3:k,x          |         |             |
      | A further crash distinguishes the two               | a1:k,x a2:k,x a3:k,x a4:k     |         | k           |
      | A frequent request that succeeds is not quarantined | a1:k,pop a2:k,pop a3:k,pop    | pop     | k           |
      | Two requests that crash upstreams                   | a1:k a2:k a3:k b1:l b2:l b3:l |         | k,l         |
      | A lost connection alone is no crash                 | a1:k a2:k up:k                |         |             |
      | Crashes older than the window don't count           | old:k a2:k a3:k               |         |             |
      | Two that keep together one crash longer are both quarantined | a1:k,x a2:k,x a3:k,x a4:k,x |  | k,x |
      | Three that keep together as well                    | a1:k,x,z a2:k,x,z a3:k,x,z a4:k,x,z |  | k,x,z |
      | Beside a crash without it, one more is needed | a1:k a2:k a3:k b1:x |  |  |
      | Four beside many crashes without it are enough, but uncertain | a1:k a2:k a3:k a4:k b1:x b2:y b3:z |  | k? |
      | Two that crash upstreams at the same time are certain together | a1:k a2:k a3:k b1:l b2:l b3:l |  | k,l |
      | Before the second one is known, the first one needs one more | a1:k a2:k a3:k b1:l b2:l |  |  |
      | One left over beside a known one is quarantined     | a1:k,x a2:k,x a3:k,x a4:k a5:x |        | k,x         |
